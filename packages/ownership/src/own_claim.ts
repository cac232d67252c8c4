/** A claim of this incarnation that is the latest known of its group. */
export interface OwnClaim {
  readonly group: string;
  readonly epoch: number;
  readonly deputy: string | null;
  /** Whether it needs neither acknowledgements nor a wait. */
  readonly isImmediate: boolean;
  /** Monotonic instant of its effect; unset until a majority acknowledged. */
  effectiveAt: number | undefined;
  /** Whether `gained` was reported. */
  isReported: boolean;
  /** Set when authority was given up for good, before the release is sent. */
  isStopped: boolean;
  /** Set while the state of the group is passed on; the release comes after. */
  isTransferring: boolean;
}
