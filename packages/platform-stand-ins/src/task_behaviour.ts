import {ResourceVector} from '@cardamomfield/types';
import {z} from 'zod';

/** Behaviour of a task on a stand-in worker, read from its payload. */
export const TaskBehaviour = z.object({
  /** Ignored by a task of kind `service`, which runs until it is stopped. */
  runMilliseconds: z.number().nonnegative().default(0),
  /** Result of the task. */
  value: z.json().default(null),
  /** Ends as failed instead of succeeded. */
  fail: z.boolean().default(false),
  /** Actual usage of the task; defaults to its declared demand. */
  usage: ResourceVector.optional(),
});
export type TaskBehaviour = z.infer<typeof TaskBehaviour>;
