import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';
import {replaceLinkCalls} from './replace_link_calls.js';

const SIMULATED_MILLISECONDS = 60_000;
const STEP_MILLISECONDS = 50;

// Guards against a worker that nobody polls any more, so that its runs lose
// their leases, because an unexpected error ended its session.
it('goes on polling a worker after an unexpected error', async () => {
  let polls = 0;
  const harness = CellHarness.create({
    seed: 3,
    overrides: {
      wrapLink: link =>
        replaceLinkCalls(link, {
          poll: order => {
            if (++polls % 5 === 1) throw new Error('unexpected');
            return link.poll(order);
          },
        }),
    },
  });
  const {virtualClock, worker, ledger} = harness;
  const host = harness.addHost('host');
  void host.claim(0);
  await virtualClock.advance(2_000);
  const {queue, specification} = createSubmission(4);
  const id = '00000000000000aa';
  void host.owner?.submit(id, queue, specification);
  for (
    let elapsed = 0;
    elapsed < SIMULATED_MILLISECONDS;
    elapsed += STEP_MILLISECONDS
  ) {
    await virtualClock.advance(STEP_MILLISECONDS);
    worker.settle();
  }
  const state = host.owner?.describe(id);
  host.kill();
  expect(ledger.violations).toEqual([]);
  expect(state).toBe('completed');
});
