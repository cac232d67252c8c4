import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';
import {replaceLinkCalls} from './replace_link_calls.js';
import type {SimulatedOwnerHost} from './simulated_owner_host.js';

const SEEDS = Array.from({length: 20}, (_, index) => index + 1);
const ID = '00000000000000aa';

/** Long enough for a takeover, all attempts of both tasks and their ends. */
const TAKEOVER_MILLISECONDS = 180_000;

const STEP_MILLISECONDS = 100;

/** Longer than a worker needs to restart. */
const RESTART_MILLISECONDS = 600;

/**
 * Pauses an owner while its first start waits to be sent, lets another owner
 * complete the submission, restarts the worker and ends the pause.
 */
async function simulate(
  seed: number,
  sendsOverdueCalls: boolean,
): Promise<{state: unknown; violations: string[]}> {
  let paused: SimulatedOwnerHost | undefined;
  const harness = CellHarness.create({
    seed,
    overrides: {
      sendsOverdueCalls,
      wrapLink: link =>
        replaceLinkCalls(link, {
          start: order => {
            if (!paused) {
              paused = first;
              first.clock.pause();
            }
            return link.start(order);
          },
        }),
    },
  });
  const {virtualClock, worker, ledger} = harness;
  const first = harness.addHost('first');
  const second = harness.addHost('second');
  void first.claim(0);
  await virtualClock.advance(2_000);
  const {queue, specification} = createSubmission(1);
  void first.owner?.submit(ID, queue, specification);
  await virtualClock.advance(300);
  void second.claim(1);
  for (
    let elapsed = 0;
    elapsed < TAKEOVER_MILLISECONDS;
    elapsed += STEP_MILLISECONDS
  ) {
    await virtualClock.advance(STEP_MILLISECONDS);
    worker.settle();
  }
  const state = second.owner?.describe(ID);
  second.kill();
  worker.restart();
  await virtualClock.advance(RESTART_MILLISECONDS);
  first.clock.resume();
  await virtualClock.advance(RESTART_MILLISECONDS);
  first.kill();
  return {state, violations: ledger.violations};
}

// Guards against a finished task that starts again: a start left its owner after
// a pause and reached a worker that had restarted since, and so knew no fencing
// token (seeds 93397 and 110383 of the ownership simulation).
it('sends no start that waited over a pause of its owner', async () => {
  for (const seed of SEEDS) {
    const result = await simulate(seed, false);
    expect({seed, ...result}).toEqual({
      seed,
      state: 'completed',
      violations: [],
    });
  }
});

// If no simulation failed here, the test above would prove nothing.
it('detects a start that is sent after its time limit', async () => {
  const {violations} = await simulate(SEEDS[0]!, true);
  expect(violations).toEqual([`${ID}.0.0.0 started after it was done`]);
});
