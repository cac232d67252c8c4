import {expect, it} from 'vitest';
import {CellRig} from './cell_rig.js';
import {createSubmission} from './plain_submission.js';
import {replaceLinkCalls} from './replace_link_calls.js';

const OUTAGE_MILLISECONDS = 6_000;

/** Four looks a second are enough while nothing can be recorded. */
const MOST_LOOKS = (OUTAGE_MILLISECONDS / 1_000) * 4;

// Guards against a look after each answer while ends wait for the log: a
// worker answers at once as long as it lists an end (23,700 looks in a day
// with two outages, against 9,900 in a day without).
it('looks at a worker at a bounded rate while its ends cannot be recorded', async () => {
  let looks = 0;
  const rig = CellRig.create({
    seed: 5,
    weakness: {
      wrapLink: link =>
        replaceLinkCalls(link, {
          poll: order => {
            looks++;
            return link.poll(order);
          },
        }),
    },
  });
  const {base, store, worker} = rig;
  const host = rig.addHost('host');
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
