import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import type {MemoryCellWorker} from './memory_cell_worker.js';
import {createSubmission} from './plain_submission.js';
import type {SimulatedOwnerHost} from './simulated_owner_host.js';

const SEEDS = Array.from({length: 5}, (_, index) => index + 1);

/**
 * A lasting task must run again within this time after its last run ended,
 * while there is capacity for it and the cell is calm.
 */
const MAXIMUM_GAP_MILLISECONDS = 9_000;

const BEFORE_CRASH_MILLISECONDS = 3_000;
const AFTER_CRASH_MILLISECONDS = 20_000;
const STEP_MILLISECONDS = 50;

interface Cell {
  harness: CellHarness;
  first: SimulatedOwnerHost;
  crashing: MemoryCellWorker;
}

/** Time until every task that ended at time 0 runs again. */
async function measureGap(
  seed: number,
  disturb: (cell: Cell, sinceCrash: number) => void,
): Promise<number> {
  const harness = CellHarness.create({
    seed,
    workerIds: ['crashing', 'near'],
    milliCores: 20_000,
  });
  const {virtualClock, workers, ledger} = harness;
  const first = harness.addHost('first');
  const crashing = workers.get('crashing');
  if (!crashing) throw new RangeError('crashing');
  void first.claim(0);
  await virtualClock.advance(2_500);
  const {queue, specification} = createSubmission(12, true);
  const single = {...specification, steps: specification.steps.slice(0, 1)};
  void first.owner?.submit('00000000000000aa', queue, single);
  const lost = new Set<string>();
  let gap = 0;
  for (
    let sinceCrash = -BEFORE_CRASH_MILLISECONDS;
    sinceCrash < AFTER_CRASH_MILLISECONDS;
    sinceCrash += STEP_MILLISECONDS
  ) {
    const before = ledger.runningTasks();
    disturb({harness, first, crashing}, sinceCrash);
    if (sinceCrash === 0) for (const name of before) lost.add(name);
    for (const name of ledger.runningTasks()) lost.delete(name);
    await virtualClock.advance(STEP_MILLISECONDS);
    for (const worker of workers.values()) worker.settle();
    for (const name of ledger.runningTasks()) lost.delete(name);
    if (lost.size > 0) gap = sinceCrash + STEP_MILLISECONDS;
  }
  first.kill();
  return gap;
}

// Guards against lasting tasks that stay down after the owner changed: the next
// owner's directory no longer lists their worker, so it never calls the address
// and does not learn that another worker answers there.
it('restarts tasks of a replaced worker that is no longer listed', async () => {
  for (const seed of SEEDS) {
    const gap = await measureGap(seed, ({harness, first, crashing}, time) => {
      if (time === 0) {
        crashing.replace(harness.virtualClock.monotonicNow() + 4_500);
      }
      if (time === 3_000) crashing.isListed = false;
      if (time === 3_100) first.kill();
      if (time === 3_500) void harness.addHost('second').claim(1);
    });
    expect(gap).toBeLessThanOrEqual(MAXIMUM_GAP_MILLISECONDS);
  }
});

/** On this seed the worker's clock is slow and the owner has nothing to do. */
const LATE_CHECK_SEED = 25;

// Guards against an end of a lease that is noticed late: nothing wakes the
// owner then, and its next regular pass is up to 300 ms away.
it('restarts tasks in time when the leases of an outage end', async () => {
  const gap = await measureGap(LATE_CHECK_SEED, ({harness, crashing}, time) => {
    harness.store.isDown = time > -2_200 && time < 500;
    if (time === 0) crashing.replace(Infinity);
  });
  expect(gap).toBeLessThanOrEqual(MAXIMUM_GAP_MILLISECONDS);
});
