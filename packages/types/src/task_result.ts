import {z} from 'zod';

/** Result of one task that ran. */
export const TaskResult = z.strictObject({
  index: z.int().nonnegative(),
  succeeded: z.boolean(),
  worker: z.string(),
  value: z.json(),
});
export type TaskResult = z.infer<typeof TaskResult>;
