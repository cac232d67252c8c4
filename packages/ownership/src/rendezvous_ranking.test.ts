import {describe, expect, it} from 'vitest';
import {RendezvousRanking} from './rendezvous_ranking.js';

const HOSTS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i'];
const GROUPS = Array.from({length: 390}, (_, index) => `rack-${index}`);

describe('RendezvousRanking', () => {
  // Guards against moves of many groups when one host is removed.
  it('moves only the groups of the removed host', async () => {
    const ranking = await RendezvousRanking.create();
    const rest = HOSTS.filter(host => host !== 'c');
    for (const group of GROUPS) {
      const before = ranking.rank(group, HOSTS);
      expect(ranking.rank(group, rest)).toEqual(
        before.filter(host => host !== 'c'),
      );
    }
  });

  // Guards against a hash that assigns most of the groups to one host.
  it('spreads groups over all hosts', async () => {
    const ranking = await RendezvousRanking.create();
    const counts = new Map<string, number>();
    for (const group of GROUPS) {
      const first = ranking.rank(group, HOSTS)[0]!;
      counts.set(first, (counts.get(first) ?? 0) + 1);
    }
    expect(counts.size).toBe(HOSTS.length);
    expect(Math.max(...counts.values())).toBeLessThan(2 * (390 / 9));
  });
});
