import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';
import {replaceLinkCalls} from './replace_link_calls.js';

const SEEDS = Array.from({length: 20}, (_, index) => index + 1);

/** Number of tasks that fit on the worker at the same time. */
const CAPACITY_TASKS = 6;

const STEP_MILLISECONDS = 50;

/** Longest time for which the runs keep a lease of the first owner. */
const FIRST_LEASE_MILLISECONDS = 5_500;

interface Observation {
  /** Starts on the worker while the directory did not list it. */
  startsWhileMissing: number;
  /** Starts after the directory listed the worker again. */
  startsWhenListed: number;
  /** Runs of the first owner when the directory listed the worker again. */
  keptRuns: number;
  mostRuns: number;
  violations: string[];
}

/**
 * Changes the owner while the directory omits a worker with runs. The worker
 * answers, and the directory lists it again later.
 */
async function changeOwner(
  seed: number,
  missingMilliseconds: number,
): Promise<Observation> {
  let starts = 0;
  const harness = CellHarness.create({
    seed,
    overrides: {
      wrapLink: link =>
        replaceLinkCalls(link, {
          start: order => {
            starts++;
            return link.start(order);
          },
        }),
    },
  });
  const {virtualClock, worker, ledger} = harness;
  const first = harness.addHost('first');
  const second = harness.addHost('second');
  void first.claim(0);
  await virtualClock.advance(2_300);
  const {queue, specification} = createSubmission(CAPACITY_TASKS);
  void first.owner?.submit('00000000000000aa', queue, specification);
  await virtualClock.advance(300);
  worker.isListed = false;
  first.kill();
  starts = 0;
  void second.claim(1);
  await virtualClock.advance(500);
  const id = '00000000000000bb';
  void second.owner?.submit(id, queue, specification);
  let mostRuns = 0;
  const advance = async (milliseconds: number) => {
    for (let time = 0; time < milliseconds; time += STEP_MILLISECONDS) {
      await virtualClock.advance(STEP_MILLISECONDS);
      worker.settle();
      mostRuns = Math.max(mostRuns, ledger.runningTasks().length);
    }
  };
  await advance(missingMilliseconds);
  const startsWhileMissing = starts;
  const keptRuns = ledger.runningTasks().length;
  worker.isListed = true;
  await advance(3_000);
  second.kill();
  return {
    startsWhileMissing,
    startsWhenListed: starts - startsWhileMissing,
    keptRuns,
    mostRuns,
    violations: ledger.violations,
  };
}

// Guards against new runs on a worker that only the records name, and against
// runs that do not count once the directory lists their worker.
it('starts nothing on a worker that only the records name', async () => {
  let keptRuns = 0;
  for (const seed of SEEDS) {
    const seen = await changeOwner(seed, 2_500);
    expect(seen.startsWhileMissing).toBe(0);
    expect(seen.startsWhenListed).toBeGreaterThan(0);
    expect(seen.mostRuns).toBeLessThanOrEqual(CAPACITY_TASKS);
    expect(seen.violations).toEqual([]);
    keptRuns += seen.keptRuns;
  }
  expect(keptRuns).toBeGreaterThan(0);
});

// Guards against runs that end with the earlier owner's lease although their
// worker answers, because the directory does not list it.
it('renews the lease of a worker that only the records name', async () => {
  let keptRuns = 0;
  for (const seed of SEEDS) {
    const seen = await changeOwner(seed, FIRST_LEASE_MILLISECONDS + 2_500);
    expect(seen.startsWhileMissing).toBe(0);
    expect(seen.violations).toEqual([]);
    keptRuns += seen.keptRuns;
  }
  expect(keptRuns).toBeGreaterThan(0);
});
