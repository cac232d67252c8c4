import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';

const SEEDS = Array.from({length: 60}, (_, index) => index + 1);

/** Puts the earlier incarnation's clock far ahead of the new one. */
const EARLIER_INCARNATION_MILLISECONDS = 20_000;

/** Longer than the longest lease and the longest delay of an order. */
const SIMULATED_MILLISECONDS = 30_000;

const STEP_MILLISECONDS = 50;

async function findViolations(seed: number): Promise<string[]> {
  const harness = CellHarness.create({
    seed,
    workerIds: ['cut', 'near'],
    milliCores: 20_000,
  });
  const {virtualClock, workers, ledger} = harness;
  const host = harness.addHost('host');
  void host.claim(0);
  await virtualClock.advance(EARLIER_INCARNATION_MILLISECONDS);
  workers.get('cut')?.restart();
  let submitted = 0;
  for (
    let elapsed = 0;
    elapsed < SIMULATED_MILLISECONDS;
    elapsed += STEP_MILLISECONDS
  ) {
    if (elapsed < 3_000) {
      const {queue, specification} = createSubmission(2);
      const id = (submitted++).toString(16).padStart(16, '0');
      void host.owner?.submit(id, queue, specification);
    }
    const faults = host.faults.get('cut');
    // The owner detects the new incarnation and then loses contact for longer
    // than the usual lease but shorter than the longest one.
    if (faults) faults.isPartitioned = elapsed > 2_500 && elapsed < 8_500;
    await virtualClock.advance(STEP_MILLISECONDS);
    for (const worker of workers.values()) worker.settle();
  }
  host.kill();
  return ledger.violations;
}

// Guards against a second run of a task while its worker is only unreachable.
// Orders sent before the restart was detected carry lease ends on the earlier
// clock, which give the new incarnation a longer lease than the owner assumes
// (seed 801430 of the ownership simulation).
it('waits for leases with an end time on the clock of an earlier incarnation', async () => {
  for (const seed of SEEDS) {
    expect({seed, violations: await findViolations(seed)}).toEqual({
      seed,
      violations: [],
    });
  }
});
