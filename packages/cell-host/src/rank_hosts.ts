import {createHash} from 'node:crypto';
import type {HostRecord} from '@cardamomfield/cell-model';

/**
 * The order in which hosts claim a shard. The strongest come first, since all
 * of a shard's work falls to its owner. Equal hosts change places with each
 * epoch, so that claims do not always fall to the same one.
 */
export function rankHosts(
  hosts: readonly HostRecord[],
  epoch: number,
): HostRecord[] {
  return hosts
    .map(host => ({host, key: orderKey(host.name, epoch)}))
    .sort(
      (a, b) =>
        b.host.milliCores - a.host.milliCores || (a.key < b.key ? -1 : 1),
    )
    .map(({host}) => host);
}

function orderKey(name: string, epoch: number): string {
  return createHash('sha1').update(`${name}/${epoch}`).digest('hex');
}
