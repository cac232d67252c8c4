import {z} from 'zod';

const period = (milliseconds: number) => z.number().default(milliseconds);

/** Periods and limits of ownership. Periods are in monotonic milliseconds. */
export const OwnershipSettings = z.object({
  /**
   * Authority lasts this long from the instant at which the tail read or the
   * queries that prove it were sent.
   */
  authorityPeriodMilliseconds: period(2_000),
  /**
   * Wait added to the authority period before a claim takes effect. Covers
   * clock rates that are off by 1 % on both hosts, with a safety margin.
   */
  claimMarginMilliseconds: period(250),
  /**
   * A quarter of the authority period, so that three lost proofs in a row are
   * tolerated.
   */
  extensionIntervalMilliseconds: period(500),
  /** A host without messages for this long is presumed dead. */
  silenceMilliseconds: period(1_500),
  /** A voter without messages for this long is proposed for removal. */
  voterRemovalMilliseconds: period(60_000),
  /** Additional delay before a claim for each further host of the ranking. */
  claimStaggerMilliseconds: period(2_000),
  /**
   * A host claims only after it has been eligible for this long. Two heartbeats
   * then have shown which other hosts are eligible; without the delay it would
   * claim every group at its start.
   */
  claimSettleMilliseconds: period(1_100),
  /** Longest time between two evaluations of the groups. */
  evaluationIntervalMilliseconds: period(250),
  callTimeoutMilliseconds: period(1_000),
  appendTimeoutMilliseconds: period(3_000),
  rebalanceIntervalMilliseconds: period(5_000),
  /** A host must be eligible for this long before groups move to it. */
  rebalanceStableMilliseconds: period(10_000),
  /** Maximum number of groups that one owner hands over in one batch. */
  rebalanceBatchSize: z.int().positive().default(4),
});
export type OwnershipSettings = z.infer<typeof OwnershipSettings>;
