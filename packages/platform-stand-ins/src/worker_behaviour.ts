import {z} from 'zod';

/** How a stand-in worker behaves apart from call faults. */
export const WorkerBehaviour = z.strictObject({
  /** Every task fails as soon as it starts. */
  failEveryTask: z.boolean(),
  /** Starts after their `startNotAfter` are refused. */
  honoursStartNotAfter: z.boolean(),
  /** Time between a change of usage and its report. */
  usageLagMilliseconds: z.number().nonnegative(),
  /** Time for which an ended task stays in the list. */
  endedKeptMilliseconds: z.number().nonnegative(),
});
export type WorkerBehaviour = z.infer<typeof WorkerBehaviour>;
