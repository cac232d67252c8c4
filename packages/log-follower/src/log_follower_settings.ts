import {z} from 'zod';

/** Settings of a log follower; all have defaults. */
export const LogFollowerSettings = z.strictObject({
  /** Longest time that a read waits for new records. */
  pollMilliseconds: z.number().positive().default(2_000),
  /** Time allowed for a read in addition to its wait. */
  readMilliseconds: z.number().positive().default(1_000),
  recordsPerRead: z.int().positive().default(500),
  /** Bounds of the back-off after a failed read. */
  backoffMinimumMilliseconds: z.number().positive().default(50),
  backoffMaximumMilliseconds: z.number().positive().default(2_000),
  /** Largest difference between this host's wall clock and the log's. */
  clockSkewMilliseconds: z.number().nonnegative().default(500),
  /** Whether this process writes snapshots. */
  writesSnapshots: z.boolean().default(true),
  /**
   * Age and number of records since the last snapshot at which a new one is
   * due. Both must be well below the retention of the log.
   */
  snapshotAfterMilliseconds: z.number().positive().default(3_600_000),
  snapshotAfterRecords: z.int().positive().default(5_000),
  /**
   * Largest fraction of both thresholds that is added at random, so that one
   * process usually writes a snapshot before it is due in the others.
   */
  snapshotJitter: z.number().nonnegative().default(0.25),
  /** Delay between a failed snapshot and the next attempt. */
  snapshotRetryMilliseconds: z.number().positive().default(10_000),
  /**
   * A stream whose start was trimmed may be read from its head without a
   * snapshot if the oldest retained record has at least this age, because
   * earlier records no longer matter then. 0 always allows this; if the setting
   * is absent, it is never allowed.
   */
  trimmedStartAgeMilliseconds: z.number().nonnegative().optional(),
});
export type LogFollowerSettings = z.infer<typeof LogFollowerSettings>;
