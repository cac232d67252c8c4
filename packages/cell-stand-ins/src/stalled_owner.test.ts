import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';

const SEEDS = Array.from({length: 20}, (_, index) => index + 1);

const STEP_MILLISECONDS = 10;

/** Above the time without a turn that counts as a pause. */
const STALL_MILLISECONDS = 450;

/** Time from the submission within which its first task must run. */
const START_MILLISECONDS = 1_000;

const LONGEST_WAIT_MILLISECONDS = 12_000;

/**
 * Lets the owner's event loop stand still and submits a task to the idle cell
 * right after. Returns the time until its first start. A stall follows the one
 * before it after `period`, if that is given.
 */
async function measureStart(
  seed: number,
  stalls: boolean,
  period?: number,
): Promise<number> {
  const harness = CellHarness.create({seed, milliCores: 60_000});
  const {virtualClock, worker} = harness;
  const host = harness.addHost('host');
  const {clock} = host;
  clock.monotonicNow = () => virtualClock.monotonicNow();
  clock.sleepUntil = async (deadline, signal) => {
    await virtualClock.sleepUntil(deadline, signal);
    await clock.whenRunning();
  };
  const stall = async () => {
    clock.pause();
    await virtualClock.sleepUntil(
      virtualClock.monotonicNow() + STALL_MILLISECONDS,
    );
    clock.resume();
  };
  let startedAt: number | undefined;
  const start = worker.start.bind(worker);
  worker.start = order => {
    const outcome = start(order);
    if (outcome.kind === 'started') startedAt ??= virtualClock.monotonicNow();
    return outcome;
  };
  void host.claim(0);
  await virtualClock.advance(4_000 + seed * 100);
  if (stalls) {
    void (async () => {
      do {
        await stall();
        const now = virtualClock.monotonicNow();
        if (period) await virtualClock.sleepUntil(now + period);
      } while (period);
    })();
    await virtualClock.advance(STALL_MILLISECONDS + STEP_MILLISECONDS);
  }
  const submittedAt = virtualClock.monotonicNow();
  const {queue, specification} = createSubmission(1);
  void host.owner?.submit('00000000000000aa', queue, specification);
  for (
    let elapsed = 0;
    elapsed < LONGEST_WAIT_MILLISECONDS && startedAt === undefined;
    elapsed += STEP_MILLISECONDS
  ) {
    await virtualClock.advance(STEP_MILLISECONDS);
  }
  host.kill();
  return (startedAt ?? submittedAt + LONGEST_WAIT_MILLISECONDS) - submittedAt;
}

async function measureAll(stalls: boolean, period?: number): Promise<number[]> {
  const delays: number[] = [];
  for (const seed of SEEDS) {
    delays.push(Math.round(await measureStart(seed, stalls, period)));
  }
  return delays.filter(delay => delay > START_MILLISECONDS);
}

it('starts a task at once without a stall', async () => {
  expect(await measureAll(false)).toEqual([]);
});

// Guards against tasks that wait for seconds with room for them: the poll that a
// stall makes stale is held open for 2 s by an idle worker, and the next one too.
it('starts a task on an idle worker soon after a stall', async () => {
  expect(await measureAll(true)).toEqual([]);
});

it('starts a task on an idle worker although stalls repeat', async () => {
  expect(await measureAll(true, 1_000)).toEqual([]);
});
