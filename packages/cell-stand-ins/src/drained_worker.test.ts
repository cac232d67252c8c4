import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';

const SEEDS = Array.from({length: 40}, (_, index) => index + 1);

/** Longer than any lease. */
const SIMULATED_MILLISECONDS = 12_000;

const STEP_MILLISECONDS = 50;

interface DrainTimes {
  /** Time from the drain until the hosts lose contact; undefined for never. */
  cutOffMilliseconds?: number;
  /** Time from the drain until the worker's entry is removed. */
  removalMilliseconds: number;
}

/** Drains one of two workers that runs tasks under a valid lease. */
async function findViolations(
  seed: number,
  {cutOffMilliseconds, removalMilliseconds}: DrainTimes,
): Promise<string[]> {
  const harness = CellHarness.create({seed, workerIds: ['cut', 'near']});
  const {virtualClock, workers, ledger} = harness;
  const host = harness.addHost('host');
  const cut = workers.get('cut');
  const faults = host.faults.get('cut');
  if (!cut || !faults) throw new RangeError('cut');
  void host.claim(0);
  await virtualClock.advance(2_000);
  const {queue, specification} = createSubmission(6);
  void host.owner?.submit('00000000000000aa', queue, specification);
  await virtualClock.advance(500);
  cut.isDraining = true;
  for (
    let elapsed = 0;
    elapsed < SIMULATED_MILLISECONDS;
    elapsed += STEP_MILLISECONDS
  ) {
    if (elapsed === cutOffMilliseconds) faults.isPartitioned = true;
    if (elapsed === removalMilliseconds) cut.isListed = false;
    await virtualClock.advance(STEP_MILLISECONDS);
    for (const worker of workers.values()) worker.settle();
  }
  host.kill();
  return ledger.violations;
}

/** Seeds with a violated guarantee. */
async function findBrokenSeeds(times: DrainTimes): Promise<number[]> {
  const broken: number[] = [];
  for (const seed of SEEDS) {
    const violations = await findViolations(seed, times);
    if (violations.length > 0) broken.push(seed);
  }
  return broken;
}

// Guards against a second run of a task of a draining worker that was taken for
// gone, because its entry was removed while it was not reachable.
it('waits for the lease of a draining worker that is cut off', async () => {
  expect(
    await findBrokenSeeds({
      cutOffMilliseconds: 500,
      removalMilliseconds: 2_000,
    }),
  ).toEqual([]);
});

// Guards against a second run of a task of a draining worker that answers,
// because its entry was removed.
it('keeps the runs of a draining worker whose entry lapsed', async () => {
  expect(await findBrokenSeeds({removalMilliseconds: 500})).toEqual([]);
});
