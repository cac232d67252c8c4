import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import type {MemoryCellWorker} from './memory_cell_worker.js';
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

/** Time until every task that a crash ended runs again. */
async function measureGap(
  seed: number,
  replacedMilliseconds: number,
  disturb: (
    cell: {harness: CellHarness; first: SimulatedOwnerHost},
    sinceCrash: number,
  ) => void,
  beforeCrash: (worker: MemoryCellWorker) => void = () => {},
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
  const {queue, specification} = createSubmission(6, true);
  const id = '00000000000000aa';
  const single = {...specification, steps: specification.steps.slice(0, 1)};
  void first.owner?.submit(id, queue, single);
  let lost = new Set<string>();
  let gap = 0;
  for (
    let sinceCrash = -BEFORE_CRASH_MILLISECONDS;
    sinceCrash < AFTER_CRASH_MILLISECONDS;
    sinceCrash += STEP_MILLISECONDS
  ) {
    if (sinceCrash === 0) {
      lost = new Set(ledger.runningTasks());
      const replacedAt = virtualClock.monotonicNow() + replacedMilliseconds;
      const crashing = workers.get('crashing');
      if (crashing) beforeCrash(crashing);
      crashing?.replace(replacedAt);
      for (const name of ledger.runningTasks()) lost.delete(name);
    }
    disturb({harness, first}, sinceCrash);
    await virtualClock.advance(STEP_MILLISECONDS);
    for (const worker of workers.values()) worker.settle();
    for (const name of ledger.runningTasks()) lost.delete(name);
    if (lost.size > 0) gap = sinceCrash + STEP_MILLISECONDS;
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
    const {gap, violations} = await measureGap(
      seed,
      REPLACED_MILLISECONDS,
      ({harness, first}, sinceCrash) => {
        if (sinceCrash === 1_000) first.kill();
        if (sinceCrash === 1_500) void harness.addHost('second').claim(1);
      },
    );
    expect({seed, violations}).toEqual({seed, violations: []});
    expect(gap).toBeLessThanOrEqual(MAXIMUM_GAP_MILLISECONDS);
  }
});

// Guards against lasting tasks that stay down after their worker restarted and
// was replaced before the owner had polled it again: the directory's entry was
// newer than the runs, and they waited for the longest lease.
it('restarts tasks of a worker that restarted and was replaced', async () => {
  for (const seed of SEEDS) {
    const {gap, violations} = await measureGap(
      seed,
      REPLACED_MILLISECONDS,
      ({harness, first}, sinceCrash) => {
        if (sinceCrash === 1_000) first.kill();
        if (sinceCrash === 1_500) void harness.addHost('second').claim(1);
      },
      worker => worker.restart(),
    );
    expect({seed, violations}).toEqual({seed, violations: []});
    expect(gap).toBeLessThanOrEqual(MAXIMUM_GAP_MILLISECONDS);
  }
});

// Guards against lasting tasks that stay down after their worker crashed during
// an outage of the log, when leases are at their longest.
it('restarts tasks of a worker replaced during an outage of the log', async () => {
  for (const seed of SEEDS) {
    const {gap, violations} = await measureGap(
      seed,
      REPLACED_MILLISECONDS,
      ({harness}, sinceCrash) => {
        harness.store.isDown = sinceCrash > -1_500 && sinceCrash < 500;
      },
    );
    expect({seed, violations}).toEqual({seed, violations: []});
    expect(gap).toBeLessThanOrEqual(MAXIMUM_GAP_MILLISECONDS);
  }
});

// Guards against lasting tasks that stay down after their worker was lost for
// good during an outage of the log: nothing but the lease shows its end.
it('restarts tasks of a worker lost during an outage of the log', async () => {
  for (const seed of SEEDS) {
    const {gap, violations} = await measureGap(
      seed,
      Infinity,
      ({harness}, sinceCrash) => {
        harness.store.isDown = sinceCrash > -1_500 && sinceCrash < 500;
      },
    );
    expect({seed, violations}).toEqual({seed, violations: []});
    expect(gap).toBeLessThanOrEqual(MAXIMUM_GAP_MILLISECONDS);
  }
});
