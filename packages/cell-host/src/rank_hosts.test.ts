import {expect, it} from 'vitest';
import {rankHosts} from './rank_hosts.js';

function host(name: string, milliCores: number) {
  return {
    name,
    address: `${name}:1`,
    region: 'region',
    availabilityZone: 'zone',
    incarnation: name,
    milliCores,
  };
}

// Guards against a weak host as owner of a shard that needs a strong one: its
// appends and orders went out seconds late (246 workers on 0.32 of a core).
it('puts the strongest hosts first', () => {
  const hosts = [host('weak', 324), host('strong', 1_350), host('middle', 675)];
  for (let epoch = 0; epoch < 20; epoch++) {
    const names = rankHosts(hosts, epoch).map(({name}) => name);
    expect(names).toEqual(['strong', 'middle', 'weak']);
  }
});

// Guards against claims that always fall to the same host.
it('changes the order of equal hosts with the epoch', () => {
  const hosts = ['a', 'b', 'c'].map(name => host(name, 675));
  const first = new Set(
    Array.from({length: 20}, (_, epoch) => rankHosts(hosts, epoch)[0]?.name),
  );
  expect(first.size).toBe(3);
});
