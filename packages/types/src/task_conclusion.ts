import {z} from 'zod';
import {FailureDescription} from './failure_description.js';
import {TaskResult} from './task_result.js';

/** The final outcome of one task of a request. */
export const TaskConclusion = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('ran'), result: TaskResult}),
  z.strictObject({
    kind: z.literal('not-run'),
    reason: FailureDescription,
    retryAfter: z.int().optional(),
  }),
  z.strictObject({kind: z.literal('unknown'), reason: FailureDescription}),
]);
export type TaskConclusion = z.infer<typeof TaskConclusion>;
