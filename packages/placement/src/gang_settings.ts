import {z} from 'zod';

/** Periods of a gang's reservation across owners. */
export const GangSettings = z.strictObject({
  /** How long an owner keeps a hold that is not committed. */
  holdMilliseconds: z.int().positive().default(5_000),
  /**
   * Time that must be left on every hold when the commits begin. It covers
   * the round trips and the difference of the wall clocks, 500 ms at most.
   */
  commitMarginMilliseconds: z.int().positive().default(2_500),
  /** Longest wait before the first new attempt; it doubles up to the limit. */
  firstBackoffMilliseconds: z.int().positive().default(20),
  longestBackoffMilliseconds: z.int().positive().default(640),
});
export type GangSettings = z.infer<typeof GangSettings>;
