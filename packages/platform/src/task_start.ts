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
  /** Tasks of the whole request. */
  taskCount: z.int().positive(),
  demand: ResourceVector,
  payload: z.json(),
  /** Wall-clock instant at which the task stops unless it is renewed. */
  leaseDeadline: z.int(),
  /** Wall-clock instant after which a worker that offers it refuses. */
  startNotAfter: z.int(),
  /** State of an earlier attempt to continue from. */
  checkpoint: z.json().optional(),
});
export type TaskStart = z.infer<typeof TaskStart>;
