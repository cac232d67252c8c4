import {z} from 'zod';

const period = (milliseconds: number) => z.number().default(milliseconds);

/** Periods and limits of ownership, all in milliseconds of monotonic time. */
export const OwnershipSettings = z.object({
  /** T: authority lasts this long after the last proof was asked for. */
  authorityPeriodMilliseconds: period(2_000),
  /** Covers clock rates that differ by 1 % on both hosts, with room to spare. */
  claimMarginMilliseconds: period(250),
  /** A quarter of T, so that three lost proofs in a row are tolerated. */
  extensionIntervalMilliseconds: period(500),
  /** A host not heard for this long is taken for dead. */
  silenceMilliseconds: period(1_500),
  /** A voter not heard for this long is proposed for removal. */
  voterRemovalMilliseconds: period(60_000),
  /** Each further host of a ranking waits this much longer before it claims. */
  claimStaggerMilliseconds: period(2_000),
  /**
   * A host claims only after it has been eligible for this long; two heartbeats
   * then showed it which others are, or it would claim every group at start.
   */
  claimSettleMilliseconds: period(1_100),
  /** Longest time between two looks at the groups. */
  evaluationIntervalMilliseconds: period(250),
  callTimeoutMilliseconds: period(1_000),
  appendTimeoutMilliseconds: period(3_000),
  rebalanceIntervalMilliseconds: period(5_000),
  /** A host must be eligible for this long before groups move to it. */
  rebalanceStableMilliseconds: period(10_000),
  /** Groups that one owner hands over at once. */
  rebalanceBatchSize: z.int().positive().default(4),
});
export type OwnershipSettings = z.infer<typeof OwnershipSettings>;
