/** What this process knows about the owners before the present one. */
export interface FormerOwners {
  /** Their known epochs, ascending. */
  readonly epochs: readonly number[];
  /**
   * Monotonic time by which an owner with a higher epoch had claimed the shard;
   * Infinity while none is known.
   */
  replacedAt(epoch: number): number;
  /**
   * Latest monotonic time at which the owner with this epoch may have granted a
   * lease. Undefined while nothing proves that it grants no more: a process that
   * does not answer may be frozen or cut off.
   */
  lastGrantAt(epoch: number): number | undefined;
}
