import {z} from 'zod';

/** Faults that can be injected into every stand-in. */
export const FaultSettings = z.strictObject({
  /** Every call is refused as unavailable, without effect. */
  outage: z.boolean(),
  /** Delay before a call takes effect. */
  delayMilliseconds: z.number().nonnegative(),
  /** Delay between the effect of a call and its answer. */
  answerDelayMilliseconds: z.number().nonnegative(),
  /** Number of next writes that take effect but lose their answer. */
  loseAnswers: z.int().nonnegative(),
  /** Share of all writes that take effect but lose their answer. */
  loseAnswerRatio: z.number().min(0).max(1),
  /** No call takes effect or is answered. */
  silent: z.boolean(),
  /**
   * Writes are delayed, as in a socket buffer, and take effect when this is
   * false again, even if their caller no longer waits.
   */
  holdWrites: z.boolean(),
});
export type FaultSettings = z.infer<typeof FaultSettings>;
