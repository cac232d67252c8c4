import {createHash} from 'node:crypto';
import type {HostRecord} from '@cardamomfield/cell-model';

/**
 * The order in which hosts claim a shard. The strongest come first, since all
 * of a shard's work falls to its owner. Equal hosts change places with each
 * epoch, so that claims do not always fall to the same one.
 *
 * Every host ranks all others several times a second, so what depends on a name
 * and the epoch is computed once: otherwise the processor time of an idle cell
 * grows with the square of its hosts.
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
