import {createHash} from 'node:crypto';
import type {HostRecord} from '@cardamomfield/cell-model';

/**
 * The order in which hosts claim a shard. The strongest come first, since the
 * owner does all of a shard's work. The order of equal hosts changes with each
 * epoch, so that claims do not always fall to the same host.
 *
 * Every host ranks all others several times a second, so the hash of a name and
 * the epoch is cached. Otherwise the processor time of an idle cell grows with
 * the square of the number of its hosts.
 */
export class HostRanking {
  private epoch = -1;
  private readonly keys = new Map<string, string>();

  private constructor() {}

  static create(): HostRanking {
    return new HostRanking();
  }

  rank(hosts: readonly HostRecord[], epoch: number): HostRecord[] {
    if (epoch !== this.epoch) {
      this.epoch = epoch;
      this.keys.clear();
    }
    return hosts
      .map(host => ({host, key: this.orderKey(host.name)}))
      .sort(
        (a, b) =>
          b.host.milliCores - a.host.milliCores || (a.key < b.key ? -1 : 1),
      )
      .map(({host}) => host);
  }

  private orderKey(name: string): string {
    const known = this.keys.get(name);
    if (known !== undefined) return known;
    const key = createHash('sha1')
      .update(`${name}/${this.epoch}`)
      .digest('hex');
    this.keys.set(name, key);
    return key;
  }
}
