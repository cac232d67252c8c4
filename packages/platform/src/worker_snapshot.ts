import {z} from 'zod';
import {WorkerTask} from './worker_task.js';

/**
 * All tasks of a worker, running and lately ended. The sequence grows with
 * every change; a new incarnation means that the worker has restarted and
 * that tasks of earlier incarnations are gone.
 */
export const WorkerSnapshot = z.object({
  worker: z.string(),
  incarnation: z.string(),
  sequence: z.int().nonnegative(),
  tasks: z.array(WorkerTask),
});
export type WorkerSnapshot = z.infer<typeof WorkerSnapshot>;
