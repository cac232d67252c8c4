/** A claim of this incarnation that is the latest known for its group. */
export interface OwnClaim {
  readonly group: string;
  readonly epoch: number;
  readonly deputy: string | null;
  /** Whether it takes effect without acknowledgements and without a wait. */
  readonly isImmediate: boolean;
  /** Monotonic instant of effect; undefined until a majority acknowledges. */
  effectiveAt: number | undefined;
  /** Whether the listeners' `gained` was called. */
  isReported: boolean;
  /** Set when authority ends permanently, before the release is appended. */
  isStopped: boolean;
  /** Set during the transfer of the group's state, before the release. */
  isTransferring: boolean;
}
