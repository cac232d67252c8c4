import {z} from 'zod';

/**
 * A hybrid logical clock value: wall-clock milliseconds and a counter. The
 * counter orders events of the same millisecond, and events that follow a
 * message from a process whose clock is ahead.
 */
export const HybridTime = z.strictObject({
  wall: z.int(),
  counter: z.int().nonnegative(),
});
export type HybridTime = z.infer<typeof HybridTime>;
