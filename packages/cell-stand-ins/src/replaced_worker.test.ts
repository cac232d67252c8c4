import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';
import type {SimulatedOwnerHost} from './simulated_owner_host.js';

const SEEDS = Array.from({length: 20}, (_, index) => index + 1);

/** Time from a worker's crash until another one answers at its address. */
const REPLACED_MILLISECONDS = 4_500;

/**
 * A lasting task must run again within this time after its last run ended,
 * while there is capacity for it and the cell is calm.
 */
const MAXIMUM_GAP_MILLISECONDS = 9_000;

const BEFORE_CRASH_MILLISECONDS = 2_000;
const AFTER_CRASH_MILLISECONDS = 20_000;
const STEP_MILLISECONDS = 50;
const TASK_COUNT = 6;

/** Longest time for which a task of a service was not running after a crash. */
async function measureLongestGap(
  seed: number,
  disturb: (
    cell: {harness: CellHarness; first: SimulatedOwnerHost},
    sinceCrash: number,
  ) => void,
): Promise<{gap: number; violations: string[]}> {
  const harness = CellHarness.create({
    seed,
    workerIds: ['crashing', 'near'],
    milliCores: 20_000,
  });
  const {virtualClock, workers, ledger} = harness;
  const first = harness.addHost('first');
  void first.claim(0);
  await virtualClock.advance(2_500);
  const {queue, specification} = createSubmission(TASK_COUNT, true);
  const id = '00000000000000aa';
  const single = {...specification, steps: specification.steps.slice(0, 1)};
  void first.owner?.submit(id, queue, single);
  const gaps = new Array<number>(TASK_COUNT).fill(0);
  let gap = 0;
  for (
    let sinceCrash = -BEFORE_CRASH_MILLISECONDS;
    sinceCrash < AFTER_CRASH_MILLISECONDS;
    sinceCrash += STEP_MILLISECONDS
  ) {
    if (sinceCrash === 0) {
      const replacedAt = virtualClock.monotonicNow() + REPLACED_MILLISECONDS;
      workers.get('crashing')?.replace(replacedAt);
    }
    disturb({harness, first}, sinceCrash);
    await virtualClock.advance(STEP_MILLISECONDS);
    for (const worker of workers.values()) worker.settle();
    for (let task = 0; task < TASK_COUNT; task++) {
      const isRunning = ledger.isRunning(`${id}.0.0.${task}`);
      gaps[task] = isRunning ? 0 : (gaps[task] ?? 0) + STEP_MILLISECONDS;
      gap = Math.max(gap, gaps[task] ?? 0);
    }
  }
  first.kill();
  // A task of a service starts again after any end, also after a success.
  const violations = ledger.violations.filter(
    violation => !violation.endsWith('after it was done'),
  );
  return {gap, violations};
}

// Guards against lasting tasks that stay down after their worker crashed around
// a change of the owner: the new owner waited for the longest lease although
// another worker answered at the address.
it('restarts tasks of a replaced worker soon after a takeover', async () => {
  for (const seed of SEEDS) {
    const {gap, violations} = await measureLongestGap(
      seed,
      ({harness, first}, sinceCrash) => {
        if (sinceCrash === 1_000) first.kill();
        if (sinceCrash === 1_500) void harness.addHost('second').claim(1);
      },
    );
    expect({seed, violations}).toEqual({seed, violations: []});
    expect(gap).toBeLessThanOrEqual(MAXIMUM_GAP_MILLISECONDS);
  }
});

// Guards against lasting tasks that stay down after their worker crashed during
// an outage of the log, when leases are at their longest.
it('restarts tasks of a worker replaced during an outage of the log', async () => {
  for (const seed of SEEDS) {
    const {gap, violations} = await measureLongestGap(
      seed,
      ({harness}, sinceCrash) => {
        harness.store.isDown = sinceCrash > -1_500 && sinceCrash < 500;
      },
    );
    expect({seed, violations}).toEqual({seed, violations: []});
    expect(gap).toBeLessThanOrEqual(MAXIMUM_GAP_MILLISECONDS);
  }
});
