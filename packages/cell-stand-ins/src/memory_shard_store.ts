import type {ShardRecord} from '@cardamomfield/cell-model';

/** How an append ended at the store. */
type AppendResult = 'appended' | 'fenced' | 'out-of-order';

/** Repeats of this many newest appends are recognised. */
const REPEAT_WINDOW = 5;

/** The store's side of a shard's log: newest records, epoch and sequence. */
export class MemoryShardStore {
  private readonly newest = new Map<string, string>();
  private epoch = 0;
  private lastSequence = 0;
  /** Down for everyone while true. */
  isDown = false;

  private constructor() {}

  static create(): MemoryShardStore {
    return new MemoryShardStore();
  }

  append(
    records: ShardRecord[],
    epoch: number,
    sequence: number,
  ): AppendResult {
    if (epoch < this.epoch) return 'fenced';
    if (epoch === this.epoch) {
      const ahead = sequence - this.lastSequence;
      if (ahead <= 0 && ahead > -REPEAT_WINDOW) return 'appended';
      if (ahead > 1 && ahead <= REPEAT_WINDOW) return 'out-of-order';
      if (ahead !== 1) return 'fenced';
    }
    this.epoch = epoch;
    this.lastSequence = sequence;
    for (const {key, value} of records) {
      if (value === '') this.newest.delete(key);
      else this.newest.set(key, value);
    }
    return 'appended';
  }

  isNewestEpoch(epoch: number): boolean {
    return epoch >= this.epoch;
  }

  read(): ShardRecord[] {
    return [...this.newest].map(([key, value]) => ({key, value}));
  }
}
