import {ManualClock, SeededRandomSource} from '@cardamomfield/clock';
import {expect, it} from 'vitest';
import {MemoryCellWorker} from './memory_cell_worker.js';
import {MemoryShardStore} from './memory_shard_store.js';
import {createSubmission} from './plain_submission.js';
import {PromiseLedger} from './promise_ledger.js';
import {SimulatedOwnerHost} from './simulated_owner_host.js';

const SEEDS = 20;
const ID = '00000000000000aa';

/** Tasks that still run 5 s after a cancelling right after a takeover. */
async function play(seed: number): Promise<string[]> {
  const base = ManualClock.create();
  const random = SeededRandomSource.create(seed);
  const ledger = PromiseLedger.create();
  const worker = MemoryCellWorker.create(
    'worker',
    9_000,
    base,
    random,
    ledger,
    () => 1,
  );
  const options = {
    store: MemoryShardStore.create(),
    workers: new Map([['worker', worker]]),
    base,
    random,
    weakness: {},
  };
  const first = SimulatedOwnerHost.create({...options, name: 'first'});
  const second = SimulatedOwnerHost.create({...options, name: 'second'});
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
  return ledger.runningTasks();
}

// Guards against tasks that run on after their cancelling because the new owner
// had not seen their worker yet (UNASKED on three hunted days).
it('stops what a cancelled submission runs on workers seen later', async () => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    expect({seed, running: await play(seed)}).toEqual({seed, running: []});
  }
});
