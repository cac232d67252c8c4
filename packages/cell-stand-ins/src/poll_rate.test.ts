import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';
import {replaceLinkCalls} from './replace_link_calls.js';

const OUTAGE_MILLISECONDS = 6_000;

/** Four polls per second suffice while no end can be recorded. */
const MAXIMUM_POLLS = (OUTAGE_MILLISECONDS / 1_000) * 4;

// Guards against polls without a pause while ended runs wait for the log. A
// worker answers immediately as long as it lists an ended run (23,700 polls in
// a day with two outages, against 9,900 in a day without).
it('polls a worker at a bounded rate while its ends cannot be recorded', async () => {
  let polls = 0;
  const harness = CellHarness.create({
    seed: 5,
    overrides: {
      wrapLink: link =>
        replaceLinkCalls(link, {
          poll: order => {
            polls++;
            return link.poll(order);
          },
        }),
    },
  });
  const {virtualClock, store, worker} = harness;
  const host = harness.addHost('host');
  void host.claim(0);
  await virtualClock.advance(2_000);
  const {queue, specification} = createSubmission(3);
  void host.owner?.submit('00000000000000aa', queue, specification);
  await virtualClock.advance(300);
  store.isDown = true;
  await virtualClock.advance(4_000);
  expect(worker.hasEndedRuns).toBe(true);
  polls = 0;
  await virtualClock.advance(OUTAGE_MILLISECONDS);
  expect(polls).toBeGreaterThan(0);
  expect(polls).toBeLessThanOrEqual(MAXIMUM_POLLS);
  host.kill();
});
