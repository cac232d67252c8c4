import {z} from 'zod';

/**
 * A hybrid logical clock value: wall milliseconds with a counter that orders
 * events of the same millisecond and events seen from faster clocks.
 */
export const HybridTime = z.strictObject({
  wall: z.int(),
  counter: z.int().nonnegative(),
});
export type HybridTime = z.infer<typeof HybridTime>;
