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
  // Load: 60 workers a zone on hosts of unlike strength. Guards against calls
  // that cross zones, and against weak hosts that carry them.
  it('takes strong hosts of the workers zone, as many as needed', () => {
    const hosts = [...createHosts(6, 'a'), ...createHosts(6, 'b')];
    const relays = chooseRelays(hosts, 'a', 90);
    expect(relays).toHaveLength(3);
    expect(relays.every(host => host.availabilityZone === 'a')).toBe(true);
    expect(relays.every(host => host.milliCores === 1_300)).toBe(true);
  });

  // Guards against relays that all change when one host is lost, which would
  // open new connections to every worker.
  it('keeps the others when a relay is lost', () => {
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

  it('serves a zone without hosts from elsewhere', () => {
    expect(chooseRelays(createHosts(3, 'b'), 'a', 5)).toHaveLength(2);
    expect(chooseRelays([], 'a', 5)).toHaveLength(0);
  });
});
