import {TaskIdentity} from '@cardamomfield/types';
import {z} from 'zod';
import {TaskUpdate} from './task_update.js';

/** What an owner or deputy knows of one task of a request. */
export const KnownTask = z.strictObject({
  task: TaskIdentity,
  coordinator: z.string(),
  /** Tasks of the whole request. */
  taskCount: z.int().positive(),
  /** Queued here, or started and not known to have ended. */
  isLive: z.boolean(),
  /** The latest update; absent while the task is queued. */
  update: TaskUpdate.optional(),
});
export type KnownTask = z.infer<typeof KnownTask>;
