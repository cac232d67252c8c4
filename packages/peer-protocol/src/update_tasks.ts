import {z} from 'zod';
import {definePeerMethod} from './define_peer_method.js';
import {TaskUpdate} from './task_update.js';

/**
 * Owner to coordinator: updates of tasks. The owner resends updates until they
 * are acknowledged. Applying an update is idempotent.
 */
export const UPDATE_TASKS = definePeerMethod(
  'task.update',
  z.strictObject({updates: z.array(TaskUpdate)}),
  z.strictObject({}),
);
