import {createHash} from 'node:crypto';

/**
 * Number of partitions of the key space. Each is owned like a worker group, so
 * that at most one registrar decides on a key. With nine hosts, each owns three
 * or four, so the load stays balanced when one host fails.
 */
const PARTITION_COUNT = 32;

const PREFIX = 'keys-';

/** Assigns request keys to partitions. */
export class KeyPartitions {
  /** Names of all partitions, used as group names for ownership. */
  static names(): string[] {
    return Array.from({length: PARTITION_COUNT}, (_, index) => nameOf(index));
  }

  /** Returns the name of the partition to which a key belongs. */
  static of(key: string): string {
    const hash = createHash('sha256').update(key).digest();
    return nameOf(hash.readUInt32BE(0) % PARTITION_COUNT);
  }

  /** Whether a group name denotes a partition, not a worker group. */
  static isPartition(group: string): boolean {
    return group.startsWith(PREFIX);
  }
}

function nameOf(index: number): string {
  return `${PREFIX}${String(index).padStart(2, '0')}`;
}
