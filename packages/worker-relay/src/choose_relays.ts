import {createHash} from 'node:crypto';
import type {HostRecord} from '@cardamomfield/cell-model';

/** Workers per relay host; serving them takes about a twentieth of a core. */
const WORKERS_PER_RELAY = 32;

/** Minimum relays per zone: losing one moves only a part of the workers. */
const MINIMUM_RELAYS = 2;

/**
 * Selects the hosts that relay calls to the workers of an availability zone:
 * the strongest hosts of that zone, as many as its workers need. A zone without
 * hosts is served by hosts of any zone. Ties are broken by a hash of the host
 * name and never by the owner, so that relays keep their connections to workers
 * when the shard changes its owner.
 */
export function chooseRelays(
  hosts: readonly HostRecord[],
  availabilityZone: string,
  workerCount: number,
): HostRecord[] {
  const inZone = hosts.filter(
    host => host.availabilityZone === availabilityZone,
  );
  const count = Math.max(
    MINIMUM_RELAYS,
    Math.ceil(workerCount / WORKERS_PER_RELAY),
  );
  return (inZone.length > 0 ? inZone : [...hosts])
    .map(host => ({host, key: hash(host.name)}))
    .sort(
      (a, b) =>
        b.host.milliCores - a.host.milliCores || (a.key < b.key ? -1 : 1),
    )
    .slice(0, count)
    .map(({host}) => host);
}

function hash(text: string): string {
  return createHash('sha1').update(text).digest('hex');
}
