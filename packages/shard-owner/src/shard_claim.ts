import type {OwnerRecord} from '@cardamomfield/cell-model';

/** A successful claim and the records in the shard's log at that time. */
export interface ShardClaim {
  owner: OwnerRecord;
  /** True if the log holds neither submissions nor endings of submissions. */
  isEmpty: boolean;
  nextSequence: number;
  /** Monotonic time at which the claim was sent. */
  provedAt: number;
  /** The owner removes each record once it has restored it, to free memory. */
  records: Map<string, string>;
}
