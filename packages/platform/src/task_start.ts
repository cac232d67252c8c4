import {ResourceVector, TaskIdentity} from '@cardamomfield/types';
import {z} from 'zod';

/** Order to a worker to start one task. */
export const TaskStart = z.strictObject({
  task: TaskIdentity,
  /** Epoch of the group's owner. */
  epoch: z.int().nonnegative(),
  /** Entry host that coordinates the request. */
  coordinator: z.string(),
  team: z.string(),
  service: z.string(),
  kind: z.string(),
  idempotent: z.boolean(),
  /** Number of tasks in the whole request. */
  taskCount: z.int().positive(),
  demand: ResourceVector,
  payload: z.json(),
  /** Wall-clock instant at which the task stops unless its lease is renewed. */
  leaseDeadline: z.int(),
  /**
   * Wall-clock instant after which the worker refuses to start the task.
   * Not every worker supports this limit.
   */
  startNotAfter: z.int(),
  /** Saved state of an earlier attempt, to continue from. */
  checkpoint: z.json().optional(),
});
export type TaskStart = z.infer<typeof TaskStart>;
