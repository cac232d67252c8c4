import {createHash} from 'node:crypto';
import {expect, it, vi} from 'vitest';
import {hostFixture} from './host_fixture.js';
import {HostRanking} from './host_ranking.js';

vi.mock('node:crypto', async importOriginal => {
  const original = await importOriginal<typeof import('node:crypto')>();
  return {...original, createHash: vi.fn(original.createHash)};
});

// Guards against a weak host that becomes owner of a large shard: with 246
// workers on 0.32 of a core its appends and orders were seconds late.
it('puts the strongest hosts first', () => {
  const hosts = [
    hostFixture('weak', 324),
    hostFixture('strong', 1_350),
    hostFixture('middle', 675),
  ];
  const ranking = HostRanking.create();
  for (let epoch = 0; epoch < 20; epoch++) {
    const names = ranking.rank(hosts, epoch).map(({name}) => name);
    expect(names).toEqual(['strong', 'middle', 'weak']);
  }
});

// Guards against claims that always fall to the same of several equal hosts.
it('changes the order of equal hosts with the epoch', () => {
  const hosts = ['a', 'b', 'c'].map(name => hostFixture(name, 675));
  const ranking = HostRanking.create();
  const first = new Set(
    Array.from({length: 20}, (_, epoch) => ranking.rank(hosts, epoch)[0]?.name),
  );
  expect(first.size).toBe(3);
});

// Guards against computing the hash at every ranking: the processor time of an
// idle cell then grows with the square of its hosts.
it('computes the order key of a host once per epoch', () => {
  const hosts = ['a', 'b', 'c'].map(name => hostFixture(name, 675));
  const ranking = HostRanking.create();
  vi.mocked(createHash).mockClear();
  for (let round = 0; round < 10; round++) ranking.rank(hosts, 1);
  expect(createHash).toHaveBeenCalledTimes(hosts.length);
  ranking.rank(hosts, 2);
  expect(createHash).toHaveBeenCalledTimes(2 * hosts.length);
});
