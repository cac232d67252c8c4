import {z} from 'zod';

/** Limits and time settings of one owner's scheduler. */
export const SchedulerSettings = z.strictObject({
  /** Maximum number of waiting jobs of one class. */
  classQueueLimit: z.int().positive().default(20_000),
  /** Maximum number of blocked jobs that one pass skips in one lane. */
  backfillDepth: z.int().positive().default(200),
  /**
   * How long a job stays blocked, while later jobs are backfilled, before
   * capacity is earmarked for it.
   */
  backfillPatienceMilliseconds: z.int().nonnegative().default(30_000),
  /**
   * Time in which preempted tasks should end. After it, the earmark expires and
   * other tasks may be preempted.
   */
  preemptionGraceMilliseconds: z.int().positive().default(4_000),
  /**
   * How long capacity of a worker is earmarked for a blocked job before a
   * worker is chosen again.
   */
  earmarkMilliseconds: z.int().positive().default(60_000),
  /**
   * Maximum number of simultaneous earmarks, as a fraction of the number of
   * the service's workers.
   */
  earmarkedShare: z.number().positive().max(1).default(0.02),
  /**
   * Number of waiting batch jobs among which the next one is chosen so that
   * the use of resources stays balanced; 0 places them in queue order.
   */
  batchWindow: z.int().nonnegative().default(0),
  /**
   * Fraction of a service's capacity that must be available for batch jobs to
   * start, so that short requests find a worker immediately.
   */
  batchHeadroom: z.number().min(0).max(0.5).default(0),
  /** Maximum number of expired jobs that one pass reports. */
  expiryBatch: z.int().positive().default(512),
});
export type SchedulerSettings = z.infer<typeof SchedulerSettings>;
