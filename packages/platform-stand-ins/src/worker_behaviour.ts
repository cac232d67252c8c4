import {z} from 'zod';

/** Behaviour of a stand-in worker, apart from the faults of calls. */
export const WorkerBehaviour = z.strictObject({
  /** Every task fails as soon as it starts. */
  failEveryTask: z.boolean(),
  /** A start that arrives after its `startNotAfter` is refused. */
  honoursStartNotAfter: z.boolean(),
  /** Delay between a change of usage and its report. */
  usageLagMilliseconds: z.number().nonnegative(),
  /** Time that an ended task stays in the task list. */
  endedKeptMilliseconds: z.number().nonnegative(),
});
export type WorkerBehaviour = z.infer<typeof WorkerBehaviour>;
