import {z} from 'zod';
import {definePeerMethod} from './define_peer_method.js';
import {TaskUpdate} from './task_update.js';

/**
 * Owner to coordinator: news of tasks. The owner repeats updates until they
 * are taken; taking one twice changes nothing.
 */
export const UPDATE_TASKS = definePeerMethod(
  'task.update',
  z.strictObject({updates: z.array(TaskUpdate)}),
  z.strictObject({}),
);
