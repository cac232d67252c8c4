import {expect, it} from 'vitest';
import {CellRig} from './cell_rig.js';
import type {HostWeakness} from './host_weakness.js';
import {createSubmission} from './plain_submission.js';
import {replaceLinkCalls} from './replace_link_calls.js';

const SEEDS = Array.from({length: 40}, (_, index) => index + 1);
const LONG_LEASE_MILLISECONDS = 60_000;

/** Longer than every wait of a new owner, shorter than the longest run. */
const PLAY_MILLISECONDS = 25_000;

const STEP_MILLISECONDS = 100;

/** Leases that are longer than owners are told. */
const LONG_LEASES: HostWeakness = {
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

/** An owner dies, and its successor never reaches one of two workers. */
async function play(seed: number, weakness: HostWeakness): Promise<string[]> {
  const rig = CellRig.create({seed, workerIds: ['cut', 'near'], weakness});
  const {base, workers, ledger} = rig;
  const first = rig.addHost('first');
  const second = rig.addHost('second');
  const faults = second.faults.get('cut');
  if (faults) faults.isCut = true;
  void first.claim(0);
  await base.advance(2_000);
  const {queue, specification} = createSubmission(6);
  void first.owner?.submit('00000000000000aa', queue, specification);
  await base.advance(2_500);
  first.kill();
  void second.claim(1);
  for (
    let played = 0;
    played < PLAY_MILLISECONDS;
    played += STEP_MILLISECONDS
  ) {
    await base.advance(STEP_MILLISECONDS);
    // A worker that nobody calls ends its runs by itself when leases lapse.
    for (const worker of workers.values()) worker.settle();
  }
  second.kill();
  return ledger.broken;
}

// Guards against a second run of a task whose worker a new owner cannot reach
// while the lease of the earlier owner may still hold.
it('waits for the leases of a worker that it cannot reach', async () => {
  for (const seed of SEEDS) {
    expect({seed, broken: await play(seed, {})}).toEqual({seed, broken: []});
  }
});

// The runs above would prove nothing if they passed with leases that outlast
// the wait of a new owner.
it('notices leases that outlast the wait of a new owner', async () => {
  let noticed = 0;
  for (const seed of SEEDS) {
    if ((await play(seed, LONG_LEASES)).length > 0) noticed++;
  }
  expect(noticed).toBeGreaterThan(0);
});
