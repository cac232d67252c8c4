import {z} from 'zod';
import {FailureDescription} from './failure_description.js';
import {RequestKey} from './request_key.js';
import {TaskResult} from './task_result.js';

/**
 * The final outcome of a request. With `ran`, every task is either in `results`
 * or in `notRun`. `not-run` requires proof that no start took effect. `unknown`
 * means that a start may have taken effect and its result is not known.
 */
export const FinalAnswer = z.discriminatedUnion('outcome', [
  z.strictObject({
    outcome: z.literal('ran'),
    key: RequestKey,
    results: z.array(TaskResult),
    /** Tasks that are proved not to have run. */
    notRun: z.array(
      z.strictObject({
        index: z.int().nonnegative(),
        reason: FailureDescription,
      }),
    ),
  }),
  z.strictObject({
    outcome: z.literal('not-run'),
    key: RequestKey,
    reason: FailureDescription,
    /** Wall-clock instant before which a retry is pointless. */
    retryAfter: z.int().optional(),
  }),
  z.strictObject({
    outcome: z.literal('unknown'),
    key: RequestKey,
    reason: FailureDescription,
  }),
]);
export type FinalAnswer = z.infer<typeof FinalAnswer>;
