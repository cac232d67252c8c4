import {z} from 'zod';

/** Faults that can be injected into every stand-in. */
export const FaultSettings = z.strictObject({
  /** Every call is refused as unavailable, without effect. */
  outage: z.boolean(),
  /** Waits before a call takes effect. */
  delayMilliseconds: z.number().nonnegative(),
  /** Waits between the effect of a call and its answer. */
  answerDelayMilliseconds: z.number().nonnegative(),
  /** How many of the next writes take effect and lose their answer. */
  loseAnswers: z.int().nonnegative(),
  /** Share of all writes that take effect and lose their answer. */
  loseAnswerRatio: z.number().min(0).max(1),
  /** No call takes effect or is answered. */
  silent: z.boolean(),
  /**
   * Writes are held back, as in a socket buffer, and take effect once this is
   * false again, whether or not their caller still waits.
   */
  holdWrites: z.boolean(),
});
export type FaultSettings = z.infer<typeof FaultSettings>;
