import {createHash} from 'node:crypto';
import type {HostRecord} from '@cardamomfield/cell-model';

/** Workers that one relay host carries; about a twentieth of a core. */
const WORKERS_PER_RELAY = 32;

/** A zone keeps this many relays, so that the loss of one moves only a part. */
const LEAST_RELAYS = 2;

/**
 * The hosts that relay calls to the workers of an availability zone: hosts of
 * that zone, the strongest first, as many as its workers need. A zone without
 * hosts is served from everywhere. The choice depends on names alone, so that
 * relays keep their connections to workers when the shard changes its owner.
 */
export function chooseRelays(
  hosts: readonly HostRecord[],
  availabilityZone: string,
  workerCount: number,
): HostRecord[] {
  const near = hosts.filter(host => host.availabilityZone === availabilityZone);
  const count = Math.max(
    LEAST_RELAYS,
    Math.ceil(workerCount / WORKERS_PER_RELAY),
  );
  return (near.length > 0 ? near : [...hosts])
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
