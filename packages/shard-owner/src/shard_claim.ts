import type {OwnerRecord} from '@cardamomfield/cell-model';

/** A successful claim and what the shard's log held at that moment. */
export interface ShardClaim {
  owner: OwnerRecord;
  nextSequence: number;
  /** Monotonic time at which the claim was sent. */
  provedAt: number;
  records: ReadonlyMap<string, string>;
}
