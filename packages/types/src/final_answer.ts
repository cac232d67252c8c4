import {z} from 'zod';
import {FailureDescription} from './failure_description.js';
import {RequestKey} from './request_key.js';
import {TaskResult} from './task_result.js';

/**
 * The truth about a request. `ran` accounts for every task; `not-run` is said
 * only when it is proved that no start took effect; `unknown` when a start may
 * have happened and its result is not known.
 */
export const FinalAnswer = z.discriminatedUnion('outcome', [
  z.strictObject({
    outcome: z.literal('ran'),
    key: RequestKey,
    results: z.array(TaskResult),
    /** Tasks of which it is proved that they did not run. */
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
