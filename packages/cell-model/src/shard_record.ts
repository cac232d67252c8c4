/** One keyed record of a shard's log; an empty value removes the key. */
export interface ShardRecord {
  key: string;
  value: string;
}
