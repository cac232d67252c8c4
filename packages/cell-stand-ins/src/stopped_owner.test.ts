import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';

const SEEDS = Array.from({length: 20}, (_, index) => index + 1);

const STEP_MILLISECONDS = 10;
const STOP_MILLISECONDS = 1_500;
const ENTRY_MILLISECONDS = 1_000;
const LOG_MILLISECONDS = 250;
const SIMULATED_MILLISECONDS = 8_000;

/**
 * Stops the owner's process after its worker has answered a poll, and restarts
 * the worker meanwhile. `monotonic` says whether the owner's monotonic clock
 * goes on while it is stopped, as it does on Linux.
 */
async function findViolations(
  seed: number,
  monotonic: 'goes on' | 'stands still',
): Promise<{startedRuns: number; violations: string[]}> {
  const harness = CellHarness.create({seed, milliCores: 60_000});
  const {virtualClock, worker, ledger} = harness;
  const host = harness.addHost('host');
  const {clock} = host;
  if (monotonic === 'goes on') {
    clock.monotonicNow = () => virtualClock.monotonicNow();
    clock.sleepUntil = async (deadline, signal) => {
      await virtualClock.sleepUntil(deadline, signal);
      await clock.whenRunning();
    };
  }
  // The entry of the new incarnation reaches the directory late.
  const entry = worker.describe();
  const describe = worker.describe.bind(worker);
  worker.describe = () => entry;
  let startedRuns = 0;
  const start = worker.start.bind(worker);
  worker.start = order => {
    const outcome = start(order);
    if (outcome.kind === 'started') startedRuns++;
    return outcome;
  };
  let isArmed = false;
  let lastOrder: unknown;
  const poll = worker.poll.bind(worker);
  worker.poll = order => {
    // The link calls this again when the wait is over; ends are acknowledged
    // when the poll arrives.
    const isRepeated = lastOrder === order;
    lastOrder = order;
    const report = poll(isRepeated ? {...order, acknowledgedEnd: 0} : order);
    if (isArmed && isRepeated && report && report.ends.length > 0) {
      isArmed = false;
      startedRuns = 0;
      clock.pause();
      const now = virtualClock.monotonicNow();
      void virtualClock.sleepUntil(now + 100).then(() => worker.restart());
      void virtualClock
        .sleepUntil(now + STOP_MILLISECONDS)
        .then(() => clock.resume());
    }
    return report;
  };
  const advance = async (milliseconds: number) => {
    for (let time = 0; time < milliseconds; time += STEP_MILLISECONDS) {
      await virtualClock.advance(STEP_MILLISECONDS);
      worker.settle();
    }
  };
  void host.claim(0);
  await advance(2_300);
  const {queue, specification} = createSubmission(30);
  const single = {...specification, steps: specification.steps.slice(0, 1)};
  const service = createSubmission(1, true).specification;
  // The ends of these runs are acknowledged, so the next number is above 30.
  void host.owner?.submit('00000000000000aa', queue, single);
  await advance(60_000);
  void host.owner?.submit('00000000000000bb', queue, service);
  await advance(1_000);
  host.log.answerMilliseconds = LOG_MILLISECONDS;
  void host.owner?.submit('00000000000000cc', queue, single);
  await advance(350);
  // An end that the next answer lists.
  isArmed = true;
  worker.stop('00000000000000bb.0.0.0', 1_000, 1);
  await advance(STOP_MILLISECONDS + ENTRY_MILLISECONDS);
  worker.describe = describe;
  await advance(SIMULATED_MILLISECONDS);
  host.kill();
  const violations = ledger.violations.filter(name => !name.includes('bb.0'));
  return {startedRuns, violations};
}

async function findAll(monotonic: 'goes on' | 'stands still') {
  const violations: string[] = [];
  let startedRuns = 0;
  for (const seed of SEEDS) {
    const result = await findViolations(seed, monotonic);
    violations.push(...result.violations);
    startedRuns += result.startedRuns;
  }
  expect(startedRuns).toBeGreaterThan(SEEDS.length);
  return violations;
}

it('acknowledges no ends of another incarnation after a pause', async () => {
  expect(await findAll('stands still')).toEqual([]);
});

// Guards against tasks that run again after they were done: a stop of the
// process is no pause for the monotonic clock, so ends of the new incarnation
// were acknowledged unseen, by the numbers of the former one.
it('acknowledges no ends of another incarnation after a stop', async () => {
  expect(await findAll('goes on')).toEqual([]);
});
