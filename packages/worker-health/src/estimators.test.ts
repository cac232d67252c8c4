import {ManualClock} from '@cardamomfield/clock';
import type {ResourceVector} from '@cardamomfield/types';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {RunTimeEstimator} from './run_time_estimator.js';
import {SizeEstimator} from './size_estimator.js';

const WORK = {service: 'route', team: 'north'};

/** Precision of the histograms, including rounding. */
const PRECISION = 0.15;

function vector(processorMillicores: number, memoryBytes: number) {
  return {
    processorMillicores,
    memoryBytes,
    accelerators: 0,
    slots: 1,
    connections: 2,
  } satisfies ResourceVector;
}

describe('RunTimeEstimator', () => {
  // Guards against using declared run times, which are inaccurate, although
  // measured ones exist, and against replacing them after too few samples.
  it('prefers measured run times once there are enough', () => {
    const estimator = RunTimeEstimator.create({clock: ManualClock.create()});
    for (let task = 0; task < 4; task++) estimator.record(WORK, 1_000);
    expect(estimator.estimate(WORK, 9)).toBe(9);
    estimator.record(WORK, 1_000);
    const estimate = estimator.estimate(WORK, 9);
    expect(Math.abs(estimate / 1_000 - 1)).toBeLessThan(PRECISION);
    const other = estimator.estimate({...WORK, team: 'south'}, 9);
    expect(other).toBe(estimate);
    expect(estimator.estimate({service: 'x', team: 'north'}, 9)).toBe(9);
  });

  // Guards against old run times that dominate the estimate after a change.
  it('adapts to a change once old run times have expired', async () => {
    const clock = ManualClock.create();
    const estimator = RunTimeEstimator.create({clock});
    for (let task = 0; task < 1_000; task++) estimator.record(WORK, 1_000);
    await clock.advance(2 * 3_600_000);
    for (let task = 0; task < 10; task++) estimator.record(WORK, 50);
    const estimate = estimator.estimate(WORK, 9);
    expect(Math.abs(estimate / 50 - 1)).toBeLessThan(PRECISION);
  });
});

describe('SizeEstimator', () => {
  const ratio = fc.integer({min: 10, max: 4_000});

  // Guards against overcommitting a host: the estimate must cover the
  // percentile of measured usage and the usage of the task itself.
  it('covers the percentile and the task’s own usage', () => {
    fc.assert(
      fc.property(
        fc.array(ratio, {minLength: 20, maxLength: 100}),
        ratio,
        (ratios, own) => {
          const estimator = SizeEstimator.create({clock: ManualClock.create()});
          const task = {...WORK, declared: vector(1_000, 1_000_000)};
          for (const used of ratios) {
            estimator.record(task, vector(used, used * 1_000));
          }
          const sorted = [...ratios].sort((one, other) => one - other);
          const expected = sorted[Math.ceil(sorted.length * 0.95) - 1]!;
          const size = estimator.estimate(task);
          const error = size.processorMillicores / expected - 1;
          expect(error).toBeGreaterThanOrEqual(0);
          expect(error).toBeLessThan(PRECISION);
          const running = estimator.estimate(task, vector(own, own * 1_000));
          expect(running.processorMillicores).toBeGreaterThanOrEqual(own);
          expect(running.memoryBytes).toBeGreaterThanOrEqual(own * 1_000);
          expect(running.slots).toBe(1);
        },
      ),
      {seed: 15, numRuns: 100},
    );
  });

  // Guards against replacing a declaration after too few measurements.
  it('keeps the declaration without enough measurements', () => {
    const estimator = SizeEstimator.create({clock: ManualClock.create()});
    const task = {...WORK, declared: vector(1_000, 1_000)};
    for (let index = 0; index < 19; index++) {
      estimator.record(task, vector(10, 10));
    }
    expect(estimator.estimate(task)).toEqual(task.declared);
  });
});
