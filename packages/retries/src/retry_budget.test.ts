import {ManualClock} from '@cardamomfield/clock';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {RetryBudget} from './retry_budget.js';

const RATIO = 0.2;
const FLOOR_PER_SECOND = 1;
const CAPACITY = 5;

const step = fc.oneof(
  fc.record({kind: fc.constant('request' as const)}),
  fc.record({kind: fc.constant('retry' as const)}),
  fc.record({
    kind: fc.constant('wait' as const),
    milliseconds: fc.integer({min: 0, max: 3_000}),
  }),
);

describe('RetryBudget', () => {
  // Guards against retry storms: retries must not exceed the number that
  // traffic and time have added, nor accumulate beyond the capacity.
  it('grants no more than traffic and time have added', async () => {
    const steps = fc.array(step, {maxLength: 200});
    await fc.assert(
      fc.asyncProperty(steps, async trace => {
        const clock = ManualClock.create();
        const budget = RetryBudget.create({
          clock,
          ratio: RATIO,
          floorPerSecond: FLOOR_PER_SECOND,
          capacity: CAPACITY,
        });
        let allowed = 1;
        for (const current of trace) {
          if (current.kind === 'request') {
            budget.recordRequest();
            allowed = Math.min(CAPACITY, allowed + RATIO);
          } else if (current.kind === 'wait') {
            await clock.advance(current.milliseconds);
            const added = (current.milliseconds / 1_000) * FLOOR_PER_SECOND;
            allowed = Math.min(CAPACITY, allowed + added);
          } else {
            const granted = budget.tryTake();
            if (granted) allowed--;
            expect(allowed).toBeGreaterThan(-1e-6);
            if (!granted) expect(allowed).toBeLessThan(1 + 1e-6);
          }
        }
      }),
      {seed: 11, numRuns: 100},
    );
  });

  // Guards against retries that accumulate over a long period without faults
  // and are all spent immediately when a fault begins.
  it('accumulates no more retries than its capacity', () => {
    const clock = ManualClock.create();
    const budget = RetryBudget.create({clock, capacity: CAPACITY});
    for (let request = 0; request < 1_000; request++) budget.recordRequest();
    let granted = 0;
    while (granted < 1_000 && budget.tryTake()) granted++;
    expect(granted).toBe(CAPACITY);
  });

  // Guards against a host without traffic that can never retry.
  it('grants a retry to a host without traffic after a while', async () => {
    const clock = ManualClock.create();
    const budget = RetryBudget.create({clock});
    while (budget.tryTake());
    await clock.advance(10_000);
    expect(budget.tryTake()).toBe(true);
  });
});
