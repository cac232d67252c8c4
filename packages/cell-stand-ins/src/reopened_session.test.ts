import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';
import {replaceLinkCalls} from './replace_link_calls.js';

const SEEDS = Array.from({length: 20}, (_, index) => index + 1);

/** Longer than the longest lease. */
const SIMULATED_MILLISECONDS = 14_000;

const STEP_MILLISECONDS = 10;

/**
 * Ends the runs of a worker that is then unreachable for a moment, and cuts it
 * off once it runs tasks again. If its entry is missing meanwhile, its session
 * ends and another one is opened.
 */
async function findViolations(
  seed: number,
  isLogDown: boolean,
  isMissing: boolean,
): Promise<{startedRuns: number; violations: string[]}> {
  let startedRuns = 0;
  let hasEndedRuns = false;
  const harness = CellHarness.create({
    seed,
    workerIds: ['cut'],
    milliCores: 20_000,
    overrides: {
      wrapLink: link =>
        replaceLinkCalls(link, {
          poll: async order => {
            const report = await link.poll(order);
            report.ifRight(({running, ends}) => {
              if (running.length === 0 && ends.length > 0) hasEndedRuns = true;
            });
            return report;
          },
        }),
    },
  });
  const {virtualClock, worker: cut, workers, ledger} = harness;
  const start = cut.start.bind(cut);
  cut.start = order => {
    const outcome = start(order);
    if (outcome.kind === 'started') startedRuns++;
    return outcome;
  };
  const host = harness.addHost('host');
  const faults = host.faults.get('cut');
  if (!faults) throw new RangeError('cut');
  const advanceUntil = async (isOver: () => boolean) => {
    for (
      let elapsed = 0;
      elapsed < SIMULATED_MILLISECONDS && !isOver();
      elapsed += STEP_MILLISECONDS
    ) {
      await virtualClock.advance(STEP_MILLISECONDS);
      for (const worker of workers.values()) worker.settle();
    }
  };
  void host.claim(0);
  await virtualClock.advance(2_300);
  const {queue, specification} = createSubmission(4, true);
  void host.owner?.submit('00000000000000aa', queue, specification);
  await virtualClock.advance(400);
  cut.isListed = !isMissing;
  await virtualClock.advance(1_600);
  host.log.isPartitioned = isLogDown;
  await virtualClock.advance(2_400);
  void host.owner?.cancel('00000000000000aa');
  hasEndedRuns = false;
  await advanceUntil(() => hasEndedRuns);
  faults.isPartitioned = true;
  await virtualClock.advance(900);
  faults.isPartitioned = false;
  host.log.isPartitioned = false;
  cut.isListed = true;
  await virtualClock.advance(400);
  startedRuns = 0;
  const next = createSubmission(8);
  void host.owner?.submit('00000000000000bb', queue, next.specification);
  await advanceUntil(() => startedRuns > 0);
  faults.isPartitioned = true;
  harness.addWorker('near');
  await advanceUntil(() => false);
  host.kill();
  // A task of a service starts again after any end, also after a success.
  const violations = ledger.violations.filter(
    violation => !violation.endsWith('after it was done'),
  );
  return {startedRuns, violations};
}

async function findAll(
  isLogDown: boolean,
  isMissing: boolean,
): Promise<string[]> {
  const violations: string[] = [];
  let startedRuns = 0;
  for (const seed of SEEDS) {
    const result = await findViolations(seed, isLogDown, isMissing);
    violations.push(...result.violations);
    startedRuns += result.startedRuns;
  }
  // Without runs on the worker that is cut off the test would prove nothing.
  expect(startedRuns).toBeGreaterThan(SEEDS.length);
  return violations;
}

it('waits for the leases of a worker whose session was opened again', async () => {
  expect(await findAll(false, true)).toEqual([]);
});

it('waits for longer leases of an outage of the log', async () => {
  expect(await findAll(true, false)).toEqual([]);
});

// Guards against two runs of a task: the session that ended had granted a longer
// lease in an outage of the log, which the next session did not know.
it('waits for longer leases of a session that ended', async () => {
  expect(await findAll(true, true)).toEqual([]);
});
