import type {HostRecord} from '@cardamomfield/cell-model';
import {describe, expect, it} from 'vitest';
import {chooseRelays} from './choose_relays.js';

function createHosts(count: number, zone: string): HostRecord[] {
  return Array.from({length: count}, (_, index) => ({
    name: `${zone}-${index}`,
    address: `10.0.0.${index}:1`,
    region: 'region',
    availabilityZone: zone,
    milliCores: index === 0 ? 300 : 1_300,
    incarnation: `${zone}-${index}`,
  }));
}

describe('chooseRelays', () => {
  // Guards against relays in another zone, whose calls cross zones, and against
  // relays on weak hosts. Load: 90 workers in a zone with unequal hosts.
  it('selects as many strong hosts of the zone as its workers need', () => {
    const hosts = [...createHosts(6, 'a'), ...createHosts(6, 'b')];
    const relays = chooseRelays(hosts, 'a', 90);
    expect(relays).toHaveLength(3);
    expect(relays.every(host => host.availabilityZone === 'a')).toBe(true);
    expect(relays.every(host => host.milliCores === 1_300)).toBe(true);
  });

  // Guards against replacing all relays when one host is lost, which would open
  // new connections to every worker.
  it('keeps the remaining relays when one is lost', () => {
    const hosts = createHosts(8, 'a');
    const before = chooseRelays(hosts, 'a', 90);
    const lost = before[0]!;
    const after = chooseRelays(
      hosts.filter(host => host !== lost),
      'a',
      90,
    );
    expect(before.slice(1).every(host => after.includes(host))).toBe(true);
  });

  it('selects hosts of other zones for a zone without hosts', () => {
    expect(chooseRelays(createHosts(3, 'b'), 'a', 5)).toHaveLength(2);
    expect(chooseRelays([], 'a', 5)).toHaveLength(0);
  });
});
