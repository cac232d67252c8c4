import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {JobSpread} from './job_spread.js';
import {PolicySet} from './policy_set.js';
import {ReservationLedger} from './reservation_ledger.js';
import {Vectors} from './vectors.js';

const amounts = (maximum: number) =>
  fc.tuple(
    fc.nat(maximum),
    fc.nat(maximum),
    fc.nat(maximum >> 3),
    fc.nat(maximum),
    fc.nat(maximum),
  );

const step = fc.record({
  demand: amounts(40),
  /** Index of the reserved task to free before the step, if it exists. */
  freed: fc.nat(60),
  excluded: fc.nat(30),
  job: fc.nat(5),
});

const INFO = {
  team: 't',
  service: 's',
  kind: 'interactive' as const,
  declaredRunMilliseconds: 1,
};

describe('PlacementPolicy', () => {
  // Guards against an index search that finds a costlier worker than a scan
  // over all workers does, or no worker although one fits.
  it.each(['best-fit', 'first-fit', 'dot-product', 'spread'])(
    '%s chooses a worker with the lowest cost',
    name => {
      const policy = PolicySet.create().getOrDefault(name);
      fc.assert(
        fc.property(
          fc.array(amounts(100), {minLength: 1, maxLength: 24}),
          fc.array(step, {minLength: 1, maxLength: 60}),
          (capacities, steps) => {
            const ledger = ReservationLedger.create();
            capacities.forEach((capacity, i) =>
              ledger.setWorker({
                name: `w${i}`,
                group: `g${i % 6}`,
                region: 'r',
                availabilityZone: `z${(i % 6) >> 1}`,
                services: ['s'],
                capacity: Vectors.toResources(capacity),
                state: 'active',
                weight: 1,
              }),
            );
            const index = ledger.index('s');
            steps.forEach(({demand, freed, excluded, job}, n) => {
              const tasks = [...ledger.allTasks()];
              if (freed < tasks.length) ledger.removeTask(tasks[freed]!);
              const spread = JobSpread.create();
              for (const task of ledger.tasksOf(`k${job}`)) {
                spread.add(task.worker);
              }
              const request = {
                demand,
                spread,
                accept: (w: {name: string}) => w.name !== `w${excluded}`,
              };
              const chosen = policy.choose(index, request);
              const costs = [...index.workers()]
                .filter(w => Vectors.fits(demand, w.available))
                .filter(request.accept)
                .map(w => policy.costOf(index, request, w))
                .sort(compareCosts);
              if (!chosen) {
                expect(costs).toEqual([]);
                return;
              }
              expect(Vectors.fits(demand, chosen.available)).toBe(true);
              expect(request.accept(chosen)).toBe(true);
              expect(policy.costOf(index, request, chosen)).toEqual(costs[0]);
              const identity = {key: `k${job}`, index: n, attempt: 1};
              ledger.addTask(identity, chosen, demand, INFO, 0);
            });
          },
        ),
        {seed: 31, numRuns: 300},
      );
    },
  );
});

function compareCosts(a: number[], b: number[]): number {
  for (let i = 0; i < a.length; i++) {
    if (a[i] !== b[i]) return a[i]! - b[i]!;
  }
  return 0;
}
