import type {LookOrder, WorkerLink} from '@cardamomfield/cell-model';
import {ManualClock, SeededRandomSource} from '@cardamomfield/clock';
import {expect, it} from 'vitest';
import {MemoryCellWorker} from './memory_cell_worker.js';
import {MemoryShardStore} from './memory_shard_store.js';
import {createSubmission} from './plain_submission.js';
import {PromiseLedger} from './promise_ledger.js';
import {SimulatedOwnerHost} from './simulated_owner_host.js';

const OUTAGE_MILLISECONDS = 6_000;

/** Four looks a second are enough while nothing can be recorded. */
const MOST_LOOKS = (OUTAGE_MILLISECONDS / 1_000) * 4;

/** Calls back before each look. */
function countLooks(link: WorkerLink, onLook: () => void): WorkerLink {
  return {
    start: order => link.start(order),
    stop: (name, attempt, fence) => link.stop(name, attempt, fence),
    pace: (name, attempt, percent, fence) =>
      link.pace(name, attempt, percent, fence),
    look: (order: LookOrder) => {
      onLook();
      return link.look(order);
    },
    close: () => link.close(),
  };
}

// Guards against a look after each answer while ends wait for the log: a
// worker answers at once as long as it lists an end (23,700 looks in a day
// with two outages, against 9,900 in a day without).
it('looks at a worker at a bounded rate while its ends cannot be recorded', async () => {
  const base = ManualClock.create();
  const random = SeededRandomSource.create(5);
  const store = MemoryShardStore.create();
  let looks = 0;
  const worker = MemoryCellWorker.create(
    'worker',
    9_000,
    base,
    random,
    PromiseLedger.create(),
    () => 1,
  );
  const host = SimulatedOwnerHost.create({
    name: 'host',
    store,
    workers: new Map([['worker', worker]]),
    base,
    random,
    weakness: {wrapLink: link => countLooks(link, () => looks++)},
  });
  void host.claim(0);
  await base.advance(2_000);
  const {queue, specification} = createSubmission(3);
  void host.owner?.submit('00000000000000aa', queue, specification);
  await base.advance(300);
  store.isDown = true;
  await base.advance(4_000);
  expect(worker.hasEnds).toBe(true);
  looks = 0;
  await base.advance(OUTAGE_MILLISECONDS);
  expect(looks).toBeGreaterThan(0);
  expect(looks).toBeLessThanOrEqual(MOST_LOOKS);
  host.kill();
});
