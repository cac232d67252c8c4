/** Told when authority over groups begins and ends. */
export interface OwnershipListener {
  /** The claim has taken effect. */
  gained(group: string, epoch: number): void;

  /**
   * The epoch is over: released or replaced. A lapse of authority that may
   * still be extended under the same epoch is not reported; `isHeld` shows it.
   */
  lost(group: string, epoch: number): void;
}
