import {z} from 'zod';
import {WorkerTask} from './worker_task.js';

/**
 * The running and recently ended tasks of a worker. The sequence increases
 * with every change. A new incarnation means that the worker has restarted and
 * that tasks of earlier incarnations no longer exist.
 */
export const WorkerSnapshot = z.object({
  worker: z.string(),
  incarnation: z.string(),
  sequence: z.int().nonnegative(),
  tasks: z.array(WorkerTask),
});
export type WorkerSnapshot = z.infer<typeof WorkerSnapshot>;
