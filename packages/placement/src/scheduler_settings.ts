import {z} from 'zod';

/** Limits and periods of one owner's scheduler. */
export const SchedulerSettings = z.strictObject({
  /** Most waiting jobs of one class. */
  classQueueLimit: z.int().positive().default(20_000),
  /** Blocked jobs that one pass looks past in one lane. */
  backfillDepth: z.int().positive().default(200),
  /** How long smaller jobs may overtake a blocked one. */
  backfillPatienceMilliseconds: z.int().nonnegative().default(30_000),
  /** How long a preempted task may take to end before others are chosen. */
  preemptionGraceMilliseconds: z.int().positive().default(4_000),
  /** How long capacity is kept for a blocked job before it is chosen anew. */
  earmarkMilliseconds: z.int().positive().default(60_000),
  /** Part of a service's workers on which capacity may be kept at once. */
  earmarkedShare: z.number().positive().max(1).default(0.02),
  /**
   * Waiting batch jobs among which the best balanced one is placed next; 0
   * places them in queue order.
   */
  batchWindow: z.int().nonnegative().default(0),
  /**
   * Part of a service's capacity below which no batch job starts, so that
   * short requests find a worker at once.
   */
  batchHeadroom: z.number().min(0).max(0.5).default(0),
  /** Expired jobs that one pass reports at most. */
  expiryBatch: z.int().positive().default(512),
});
export type SchedulerSettings = z.infer<typeof SchedulerSettings>;
