import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import type {HostOverrides} from './host_overrides.js';
import {createSubmission} from './plain_submission.js';
import {replaceLinkCalls} from './replace_link_calls.js';

const SEEDS = Array.from({length: 40}, (_, index) => index + 1);
const LONG_LEASE_MILLISECONDS = 60_000;

/** Longer than any wait of a new owner, but shorter than the longest run. */
const SIMULATED_MILLISECONDS = 25_000;

const STEP_MILLISECONDS = 100;

/** Lets workers grant longer leases than owners account for. */
const LONG_LEASES: HostOverrides = {
  longestLeaseMilliseconds: LONG_LEASE_MILLISECONDS,
  wrapLink: link =>
    replaceLinkCalls(link, {
      poll: order =>
        link.poll({
          ...order,
          leaseEndWorkerMilliseconds:
            order.leaseEndWorkerMilliseconds === undefined
              ? undefined
              : order.leaseEndWorkerMilliseconds + LONG_LEASE_MILLISECONDS,
        }),
    }),
};

/** Kills an owner whose successor cannot reach one of the two workers. */
async function findViolations(
  seed: number,
  overrides: HostOverrides,
): Promise<string[]> {
  const harness = CellHarness.create({
    seed,
    workerIds: ['cut', 'near'],
    overrides,
  });
  const {virtualClock, workers, ledger} = harness;
  const first = harness.addHost('first');
  const second = harness.addHost('second');
  const faults = second.faults.get('cut');
  if (faults) faults.isPartitioned = true;
  void first.claim(0);
  await virtualClock.advance(2_000);
  const {queue, specification} = createSubmission(6);
  void first.owner?.submit('00000000000000aa', queue, specification);
  await virtualClock.advance(2_500);
  first.kill();
  void second.claim(1);
  for (
    let elapsed = 0;
    elapsed < SIMULATED_MILLISECONDS;
    elapsed += STEP_MILLISECONDS
  ) {
    await virtualClock.advance(STEP_MILLISECONDS);
    // A worker without calls must still end its runs when its lease lapses.
    for (const worker of workers.values()) worker.settle();
  }
  second.kill();
  return ledger.violations;
}

// Guards against a second run of a task whose worker the new owner cannot
// reach: the lease granted to the previous owner may still be valid.
it('waits for the leases of a worker that it cannot reach', async () => {
  for (const seed of SEEDS) {
    expect({seed, violations: await findViolations(seed, {})}).toEqual({
      seed,
      violations: [],
    });
  }
});

// The test above would prove nothing if it also passed with leases that
// outlast the wait of a new owner.
it('detects leases that outlast the wait of a new owner', async () => {
  let detected = 0;
  for (const seed of SEEDS) {
    if ((await findViolations(seed, LONG_LEASES)).length > 0) detected++;
  }
  expect(detected).toBeGreaterThan(0);
});
