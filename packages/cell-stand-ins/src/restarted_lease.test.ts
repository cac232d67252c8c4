import {expect, it} from 'vitest';
import {CellRig} from './cell_rig.js';
import {createSubmission} from './plain_submission.js';

const SEEDS = Array.from({length: 60}, (_, index) => index + 1);

/** So long that times of the former clock are far ahead of the new one. */
const FORMER_LIFE_MILLISECONDS = 20_000;

/** Longer than the longest lease and the latest order. */
const PLAY_MILLISECONDS = 30_000;

const STEP_MILLISECONDS = 50;

async function play(seed: number): Promise<string[]> {
  const rig = CellRig.create({
    seed,
    workerIds: ['cut', 'near'],
    milliCores: 20_000,
  });
  const {base, workers, ledger} = rig;
  const host = rig.addHost('host');
  void host.claim(0);
  await base.advance(FORMER_LIFE_MILLISECONDS);
  workers.get('cut')?.restart();
  let submitted = 0;
  for (
    let passed = 0;
    passed < PLAY_MILLISECONDS;
    passed += STEP_MILLISECONDS
  ) {
    if (passed < 3_000) {
      const {queue, specification} = createSubmission(2);
      const id = (submitted++).toString(16).padStart(16, '0');
      void host.owner?.submit(id, queue, specification);
    }
    const faults = host.faults.get('cut');
    // The owner learns of the new life, then loses it for longer than its
    // usual lease and shorter than the longest one.
    if (faults) faults.isCut = passed > 2_500 && passed < 8_500;
    await base.advance(STEP_MILLISECONDS);
    for (const worker of workers.values()) worker.settle();
  }
  host.kill();
  return ledger.broken;
}

// Guards against a second run of a task on a worker that was only silent: orders
// sent before its restart was noticed name times of its former clock, and give
// the new life a longer lease than its owner believed (seed 801430 of the random
// runs).
it('waits for leases that name times of a former clock', async () => {
  for (const seed of SEEDS) {
    expect({seed, broken: await play(seed)}).toEqual({seed, broken: []});
  }
});
