/** Notified when authority over a group begins or ends. */
export interface OwnershipListener {
  /** The claim has taken effect. */
  gained(group: string, epoch: number): void;

  /**
   * The epoch was released or replaced. Not called when authority lapses but
   * may still be extended under the same epoch; `isHeld` returns false then.
   */
  lost(group: string, epoch: number): void;
}
