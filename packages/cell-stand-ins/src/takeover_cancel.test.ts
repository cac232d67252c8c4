import {expect, it} from 'vitest';
import {CellRig} from './cell_rig.js';
import {createSubmission} from './plain_submission.js';

const SEEDS = 20;
const ID = '00000000000000aa';

/** Tasks that still run 5 s after a cancelling right after a takeover. */
async function play(seed: number): Promise<string[]> {
  const rig = CellRig.create({seed});
  const {base} = rig;
  const first = rig.addHost('first');
  const second = rig.addHost('second');
  void first.claim(0);
  await base.advance(2_000);
  const {queue, specification} = createSubmission(3, true);
  void first.owner?.submit(ID, queue, specification);
  await base.advance(300);
  first.kill();
  void second.claim(1);
  await base.advance(20);
  const cancelled = second.owner?.cancel(ID);
  await base.advance(5_000);
  expect((await cancelled)?.isRight()).toBe(true);
  second.kill();
  return rig.ledger.runningTasks();
}

// Guards against tasks that run on after their cancelling because the new owner
// had not seen their worker yet (UNASKED on three hunted days).
it('stops what a cancelled submission runs on workers seen later', async () => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    expect({seed, running: await play(seed)}).toEqual({seed, running: []});
  }
});
