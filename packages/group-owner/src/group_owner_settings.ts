import {z} from 'zod';

/** Periods and limits of an owner. All periods are milliseconds. */
export const GroupOwnerSettings = z.strictObject({
  /** How far ahead of now a lease is granted. */
  leaseMilliseconds: z.int().positive().default(30_000),
  /** Period between two renewals of a worker's leases. */
  renewalMilliseconds: z.int().positive().default(10_000),
  /** Most that the wall clocks of two hosts may differ. */
  clockSkewMilliseconds: z.int().nonnegative().default(500),
  /** Time for a worker to answer a command. */
  commandMilliseconds: z.int().positive().default(2_000),
  /** How long a worker may hold back a watch with nothing to report. */
  watchMilliseconds: z.int().positive().default(10_000),
  /** Pause after a failed watch. */
  watchRetryMilliseconds: z.int().positive().default(500),
  /** Period of the host list. */
  hostListMilliseconds: z.int().positive().default(1_000),
  /** How long an ended task is kept for coordinators that ask. */
  retentionMilliseconds: z.int().positive().default(600_000),
  /** Starts of one task that workers may refuse before it is given back. */
  maximumRefusals: z.int().positive().default(3),
  /** Stop commands under way at once, so that they can't starve starts. */
  maximumStops: z.int().positive().default(32),
});
export type GroupOwnerSettings = z.infer<typeof GroupOwnerSettings>;
