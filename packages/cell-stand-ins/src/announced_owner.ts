import type {ShardOwner} from '@cardamomfield/shard-owner';
import type {PausableClock} from './pausable_clock.js';

/** An owner that a host has told the others of. */
export interface AnnouncedOwner {
  epoch: number;
  owner: ShardOwner;
  clock: PausableClock;
  /** Virtual time at which its process crashed; undefined while it runs. */
  crashedAt: () => number | undefined;
}
