import {z} from 'zod';

/** Periods and limits of an owner. All periods are in milliseconds. */
export const GroupOwnerSettings = z.strictObject({
  /** Duration for which a lease is granted. */
  leaseMilliseconds: z.int().positive().default(30_000),
  /** Time between two renewals of a worker's leases. */
  renewalMilliseconds: z.int().positive().default(10_000),
  /** Largest difference allowed between the wall clocks of two hosts. */
  clockSkewMilliseconds: z.int().nonnegative().default(500),
  /** Time for a worker to answer a command. */
  commandMilliseconds: z.int().positive().default(2_000),
  /** How long a worker may delay its answer to a watch if nothing changes. */
  watchMilliseconds: z.int().positive().default(10_000),
  /** Pause after a failed watch. */
  watchRetryMilliseconds: z.int().positive().default(500),
  /** Time between two reads of the platform's host list. */
  hostListMilliseconds: z.int().positive().default(1_000),
  /** How long an ended task is kept for queries of coordinators. */
  retentionMilliseconds: z.int().positive().default(600_000),
  /** Refused starts after which a task is reported as not started. */
  maximumRefusals: z.int().positive().default(3),
  /** Limit of stop commands in flight, so that they can't starve starts. */
  maximumStops: z.int().positive().default(32),
});
export type GroupOwnerSettings = z.infer<typeof GroupOwnerSettings>;
