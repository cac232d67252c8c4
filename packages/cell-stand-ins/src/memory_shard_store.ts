import type {ShardRecord} from '@cardamomfield/cell-model';
import {OwnerAnnouncements} from './owner_announcements.js';

/** Outcome of an append at the store. */
type AppendResult = 'appended' | 'fenced' | 'out-of-order' | 'too-large';

/** Number of most recent appends whose repeats the store recognises. */
const REPEAT_WINDOW = 5;

/** Largest record and largest append that the store accepts, in bytes. */
const LIMITS = {recordBytes: 262_144, requestBytes: 2_097_152};

/**
 * Server side of a shard's log: the newest record of each key, the epoch and
 * the last sequence number.
 */
export class MemoryShardStore {
  private readonly newestRecords = new Map<string, string>();
  private epoch = 0;
  private lastSequence = 0;
  /** While true, the store is unavailable to every host. */
  isDown = false;
  /** The claims that the hosts of this store tell each other of. */
  readonly announcements = OwnerAnnouncements.create();
  /** Number of appends refused for their size. */
  refusals = 0;

  private constructor() {}

  static create(): MemoryShardStore {
    return new MemoryShardStore();
  }

  append(
    records: ShardRecord[],
    epoch: number,
    sequence: number,
  ): AppendResult {
    const sizes = records.map(
      ({key, value}) => 1 + Buffer.byteLength(key) + Buffer.byteLength(value),
    );
    if (
      sizes.some(bytes => bytes > LIMITS.recordBytes) ||
      sizes.reduce((sum, bytes) => sum + bytes, 0) > LIMITS.requestBytes
    ) {
      this.refusals++;
      return 'too-large';
    }
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
      if (value === '') this.newestRecords.delete(key);
      else this.newestRecords.set(key, value);
    }
    return 'appended';
  }

  isNewestEpoch(epoch: number): boolean {
    return epoch >= this.epoch;
  }

  read(): ShardRecord[] {
    return [...this.newestRecords].map(([key, value]) => ({key, value}));
  }
}
