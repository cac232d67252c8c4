import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';
import {replaceLinkCalls} from './replace_link_calls.js';

const SEEDS = Array.from({length: 30}, (_, index) => index + 1);

/** Puts the earlier incarnation's clock far ahead of the new one. */
const EARLIER_INCARNATION_MILLISECONDS = 20_000;

/** Longer than the longest lease. */
const SIMULATED_MILLISECONDS = 14_000;

const STEP_MILLISECONDS = 50;

/**
 * Cuts a worker off for good right after its first start, before which it may
 * have restarted without its owner's knowledge.
 */
async function findBrokenSeeds(isRestarted: boolean): Promise<number[]> {
  const broken: number[] = [];
  for (const seed of SEEDS) {
    let handleStart = () => {};
    let handleStarted = () => {};
    const harness = CellHarness.create({
      seed,
      workerIds: ['cut', 'near'],
      milliCores: 20_000,
      overrides: {
        wrapLink: link =>
          replaceLinkCalls(link, {
            start: async order => {
              handleStart();
              const outcome = await link.start(order);
              if (outcome.kind === 'started') handleStarted();
              return outcome;
            },
          }),
      },
    });
    const {virtualClock, workers, ledger} = harness;
    const host = harness.addHost('host');
    const cut = workers.get('cut');
    const near = workers.get('near');
    const faults = host.faults.get('cut');
    if (!cut || !near || !faults) throw new RangeError('cut');
    near.isListed = false;
    handleStart = () => {
      if (isRestarted && cut.incarnation === 0) cut.restart();
    };
    handleStarted = () => {
      if (near.isListed) return;
      near.isListed = true;
      void virtualClock
        .sleepUntil(virtualClock.monotonicNow() + STEP_MILLISECONDS)
        .then(() => {
          faults.isPartitioned = true;
        });
    };
    void host.claim(0);
    await virtualClock.advance(EARLIER_INCARNATION_MILLISECONDS);
    const {queue, specification} = createSubmission(12);
    void host.owner?.submit('00000000000000aa', queue, specification);
    for (
      let elapsed = 0;
      elapsed < SIMULATED_MILLISECONDS;
      elapsed += STEP_MILLISECONDS
    ) {
      await virtualClock.advance(STEP_MILLISECONDS);
      for (const worker of workers.values()) worker.settle();
    }
    host.kill();
    if (ledger.violations.length > 0) broken.push(seed);
  }
  return broken;
}

// Guards against a second run of a task whose worker had restarted before the
// start: the order's lease end is on the earlier clock, so the new incarnation
// holds a longer lease than its owner waits for.
it('waits for the lease of a start after an unnoticed restart', async () => {
  expect(await findBrokenSeeds(true)).toEqual([]);
});

it('waits for the lease of a start without a restart', async () => {
  expect(await findBrokenSeeds(false)).toEqual([]);
});
