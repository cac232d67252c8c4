import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';

const SEEDS = Array.from({length: 20}, (_, index) => index + 1);

/** Puts the former incarnation's clock far ahead of the new one. */
const FORMER_INCARNATION_MILLISECONDS = 20_000;

/** Longer than a usual lease, shorter than the longest one. */
const CUT_MILLISECONDS = 9_000;

const STEP_MILLISECONDS = 50;

/**
 * Restarts a worker with running tasks so quickly that no poll fails, and cuts
 * it off once its new incarnation has tasks again.
 */
async function findViolations(seed: number): Promise<string[]> {
  const harness = CellHarness.create({
    seed,
    workerIds: ['cut', 'near'],
    milliCores: 20_000,
  });
  const {virtualClock, workers, ledger} = harness;
  const host = harness.addHost('host');
  const cut = workers.get('cut');
  const faults = host.faults.get('cut');
  if (!cut || !faults) throw new RangeError('cut');
  const advance = async (milliseconds: number) => {
    for (let time = 0; time < milliseconds; time += STEP_MILLISECONDS) {
      await virtualClock.advance(STEP_MILLISECONDS);
      for (const worker of workers.values()) worker.settle();
    }
  };
  void host.claim(0);
  await advance(FORMER_INCARNATION_MILLISECONDS);
  const {queue, specification} = createSubmission(16, true);
  const steps = specification.steps.slice(0, 1);
  void host.owner?.submit('00000000000000aa', queue, {
    ...specification,
    steps,
  });
  await advance(1_000);
  cut.restart();
  cut.isUp = true;
  await advance(1_200);
  faults.isPartitioned = true;
  await advance(CUT_MILLISECONDS);
  host.kill();
  // The tasks of a service start again however they end.
  return ledger.violations.filter(each => !each.endsWith('after it was done'));
}

// Guards against two runs of a task: the poll that finds a restarted worker may
// renew a lease with an end on its former clock, which lasts longer than usual.
it('waits for the lease of the poll that finds a restart', async () => {
  for (const seed of SEEDS) {
    expect({seed, violations: await findViolations(seed)}).toEqual({
      seed,
      violations: [],
    });
  }
});
