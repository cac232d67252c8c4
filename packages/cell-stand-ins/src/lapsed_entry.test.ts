import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';
import {replaceLinkCalls} from './replace_link_calls.js';

const LAPSE_MILLISECONDS = 1_500;

/** Counts orders to a worker that runs services while its entry is missing. */
async function countOrders(missingMilliseconds: number) {
  let stops = 0;
  let starts = 0;
  const harness = CellHarness.create({
    seed: 7,
    overrides: {
      wrapLink: link =>
        replaceLinkCalls(link, {
          start: order => {
            starts++;
            return link.start(order);
          },
          stop: (name, attempt, fencingToken) => {
            stops++;
            return link.stop(name, attempt, fencingToken);
          },
        }),
    },
  });
  const {virtualClock, worker} = harness;
  const host = harness.addHost('host');
  void host.claim(0);
  await virtualClock.advance(2_300);
  const {queue, specification} = createSubmission(3, true);
  void host.owner?.submit('00000000000000aa', queue, specification);
  await virtualClock.advance(300);
  worker.isListed = false;
  await virtualClock.advance(missingMilliseconds);
  starts = 0;
  const id = '00000000000000bb';
  void host.owner?.submit(id, queue, createSubmission(1).specification);
  await virtualClock.advance(200);
  const startsWhileMissing = starts;
  host.kill();
  return {stops, startsWhileMissing};
}

// Guards against services that are stopped on a healthy worker because its
// entry lapsed during an outage of the store.
it('keeps the runs of a worker whose entry lapsed', async () => {
  const {stops, startsWhileMissing} = await countOrders(LAPSE_MILLISECONDS);
  expect(stops).toBe(0);
  expect(startsWhileMissing).toBeGreaterThan(0);
});

// Guards against new work on a worker that the platform no longer lists.
it('starts nothing on a worker that stays missing', async () => {
  const {stops, startsWhileMissing} = await countOrders(6_000);
  expect(stops).toBe(0);
  expect(startsWhileMissing).toBe(0);
});
