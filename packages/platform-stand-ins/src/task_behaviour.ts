import {ResourceVector} from '@cardamomfield/types';
import {z} from 'zod';

/** What a task does on a stand-in worker, read from its payload. */
export const TaskBehaviour = z.object({
  /** Ignored by a task of kind `service`, which runs until it is stopped. */
  runMilliseconds: z.number().nonnegative().default(0),
  /** What the task produces. */
  value: z.json().default(null),
  /** Ends as failed instead of succeeded. */
  fail: z.boolean().default(false),
  /** What the task really uses; absent: what it declared. */
  usage: ResourceVector.optional(),
});
export type TaskBehaviour = z.infer<typeof TaskBehaviour>;
