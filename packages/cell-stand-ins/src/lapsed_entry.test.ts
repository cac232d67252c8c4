import {ManualClock, SeededRandomSource} from '@cardamomfield/clock';
import {expect, it} from 'vitest';
import {MemoryCellWorker} from './memory_cell_worker.js';
import {MemoryShardStore} from './memory_shard_store.js';
import {createSubmission} from './plain_submission.js';
import {PromiseLedger} from './promise_ledger.js';
import {SimulatedOwnerHost} from './simulated_owner_host.js';

const LAPSE_MILLISECONDS = 1_500;

/** Stops sent while the entry of a worker with services was missing. */
async function countStops(missingMilliseconds: number) {
  const base = ManualClock.create();
  const random = SeededRandomSource.create(7);
  const worker = MemoryCellWorker.create(
    'worker',
    9_000,
    base,
    random,
    PromiseLedger.create(),
    () => 1,
  );
  let stops = 0;
  let starts = 0;
  const host = SimulatedOwnerHost.create({
    name: 'host',
    store: MemoryShardStore.create(),
    workers: new Map([['worker', worker]]),
    base,
    random,
    weakness: {
      wrapLink: link => ({
        start: order => {
          starts++;
          return link.start(order);
        },
        stop: (name, attempt, fence) => {
          stops++;
          return link.stop(name, attempt, fence);
        },
        pace: (name, attempt, percent, fence) =>
          link.pace(name, attempt, percent, fence),
        look: order => link.look(order),
        close: () => link.close(),
      }),
    },
  });
  void host.claim(0);
  await base.advance(2_300);
  const {queue, specification} = createSubmission(3, true);
  void host.owner?.submit('00000000000000aa', queue, specification);
  await base.advance(300);
  worker.isListed = false;
  await base.advance(missingMilliseconds);
  starts = 0;
  const id = '00000000000000bb';
  void host.owner?.submit(id, queue, createSubmission(1).specification);
  await base.advance(200);
  const startsWhileMissing = starts;
  host.kill();
  return {stops, startsWhileMissing};
}

// Guards against services that are stopped on a sound worker because its entry
// lapsed during an outage of the store.
it('keeps the runs of a worker whose entry lapsed', async () => {
  const {stops, startsWhileMissing} = await countStops(LAPSE_MILLISECONDS);
  expect(stops).toBe(0);
  expect(startsWhileMissing).toBeGreaterThan(0);
});

// Guards against new work on a worker that the platform has given up.
it('starts nothing on a worker that stays missing', async () => {
  const {stops, startsWhileMissing} = await countStops(6_000);
  expect(stops).toBe(0);
  expect(startsWhileMissing).toBe(0);
});
