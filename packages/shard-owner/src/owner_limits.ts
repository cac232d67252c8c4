/** Sizes that the owner of a shard keeps to, in bytes. */
export interface OwnerLimits {
  /** Largest record that the shard's log accepts. */
  recordBytes: number;
  /** Largest append that the shard's log accepts. */
  requestBytes: number;
  /** Memory for all unfinished submissions. */
  memoryBytes: number;
}
