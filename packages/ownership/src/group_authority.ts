/** The right of this process to place work on one group. */
export interface GroupAuthority {
  readonly epoch: number;

  /** Whether the authority holds at the instant of the call. */
  isHeld(): boolean;

  /** Monotonic instant at which the authority ends unless it is extended. */
  heldUntil(): number;
}
