import {createHash} from 'node:crypto';

/**
 * Partitions of the key space. Each is owned like a worker group, so that at
 * most one registrar decides on a key. Three or four per host of nine keep
 * the load even when one of them goes.
 */
const PARTITION_COUNT = 32;

const PREFIX = 'keys-';

/** Assigns request keys to partitions. */
export class KeyPartitions {
  /** Names of all partitions, as the ownership package knows them. */
  static names(): string[] {
    return Array.from({length: PARTITION_COUNT}, (_, index) => nameOf(index));
  }

  /** The partition of a key. */
  static of(key: string): string {
    const hash = createHash('sha256').update(key).digest();
    return nameOf(hash.readUInt32BE(0) % PARTITION_COUNT);
  }

  /** Whether an owned group is a partition and not a worker group. */
  static isPartition(group: string): boolean {
    return group.startsWith(PREFIX);
  }
}

function nameOf(index: number): string {
  return `${PREFIX}${String(index).padStart(2, '0')}`;
}
