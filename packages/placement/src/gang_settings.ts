import {z} from 'zod';

/** Time settings for reserving a gang across several owners. */
export const GangSettings = z.strictObject({
  /** How long an owner keeps a hold whose gang is not started. */
  holdMilliseconds: z.int().positive().default(5_000),
  /**
   * Minimum time left on every hold when the commits begin. It covers the
   * round trips and the wall clock skew, which is at most 500 ms.
   */
  commitMarginMilliseconds: z.int().positive().default(2_500),
  /**
   * Maximum back-off before the second attempt. It doubles with each further
   * attempt, up to `longestBackoffMilliseconds`.
   */
  firstBackoffMilliseconds: z.int().positive().default(20),
  longestBackoffMilliseconds: z.int().positive().default(640),
});
export type GangSettings = z.infer<typeof GangSettings>;
