import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import type {HostOverrides} from './host_overrides.js';
import {createSubmission} from './plain_submission.js';
import {replaceLinkCalls} from './replace_link_calls.js';

const SEEDS = Array.from({length: 30}, (_, index) => index + 1);

/** Longer than any lease and the longest stop. */
const SIMULATED_MILLISECONDS = 14_000;

const STEP_MILLISECONDS = 50;

/** Times that real workers need at the end of a lease. */
const SLOW_KILLS: HostOverrides = {
  stopMilliseconds: 900,
  timerLatenessMilliseconds: 150,
};

/** Cuts a worker off for good, right after a poll that renewed its lease. */
async function findViolations(
  seed: number,
  overrides: HostOverrides,
): Promise<string[]> {
  let handleRenewal = () => {};
  const harness = CellHarness.create({
    seed,
    workerIds: ['cut', 'near'],
    milliCores: 20_000,
    overrides: {
      ...overrides,
      wrapLink: link =>
        replaceLinkCalls(link, {
          poll: async order => {
            const report = await link.poll(order);
            const isRenewed = order.leaseEndWorkerMilliseconds !== undefined;
            if (isRenewed) handleRenewal();
            return report;
          },
        }),
    },
  });
  const {virtualClock, workers, ledger} = harness;
  const host = harness.addHost('host');
  const faults = host.faults.get('cut');
  if (!faults) throw new RangeError('cut');
  void host.claim(0);
  await virtualClock.advance(2_000);
  const {queue, specification} = createSubmission(24);
  void host.owner?.submit('00000000000000aa', queue, specification);
  await virtualClock.advance(1_000);
  handleRenewal = () => {
    faults.isPartitioned = true;
  };
  for (
    let elapsed = 0;
    elapsed < SIMULATED_MILLISECONDS;
    elapsed += STEP_MILLISECONDS
  ) {
    await virtualClock.advance(STEP_MILLISECONDS);
    for (const worker of workers.values()) worker.settle();
  }
  host.kill();
  return ledger.violations;
}

/** Seeds with a violated guarantee. */
async function findBrokenSeeds(overrides: HostOverrides): Promise<number[]> {
  const broken: number[] = [];
  for (const seed of SEEDS) {
    const violations = await findViolations(seed, overrides);
    if (violations.length > 0) broken.push(seed);
  }
  return broken;
}

// Guards against a second run of a task that its worker is still killing,
// because a kill takes longer than the owner waits after the end of a lease.
it('waits until a worker has killed its runs after its lease', async () => {
  expect(await findBrokenSeeds(SLOW_KILLS)).toEqual([]);
});

// Guards against an owner that starts tasks elsewhere before a lease is over.
it('waits for the lease of a worker that kills its runs at once', async () => {
  expect(await findBrokenSeeds({})).toEqual([]);
});
