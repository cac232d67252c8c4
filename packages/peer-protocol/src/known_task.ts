import {TaskIdentity} from '@cardamomfield/types';
import {z} from 'zod';
import {TaskUpdate} from './task_update.js';

/** State of one task of a request, as its owner or deputy has recorded it. */
export const KnownTask = z.strictObject({
  task: TaskIdentity,
  coordinator: z.string(),
  /** Number of tasks in the whole request. */
  taskCount: z.int().positive(),
  /** Whether it is queued here, or started without a recorded end. */
  isLive: z.boolean(),
  /** The latest update; absent while the task is queued. */
  update: TaskUpdate.optional(),
});
export type KnownTask = z.infer<typeof KnownTask>;
