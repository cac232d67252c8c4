import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import type {MemoryCellWorker} from './memory_cell_worker.js';
import {createSubmission} from './plain_submission.js';
import {replaceLinkCalls} from './replace_link_calls.js';

const SEEDS = Array.from({length: 20}, (_, index) => index + 1);

/** The log takes longer than a worker needs to restart. */
const LOG_MILLISECONDS = 700;

/** Longer than the longest lease. */
const SIMULATED_MILLISECONDS = 14_000;

const STEP_MILLISECONDS = 10;

/**
 * Restarts a worker while the log records the intents of its first runs, and
 * cuts it off as soon as the new incarnation has started them.
 */
async function findViolations(
  seed: number,
  restarts: boolean,
  losesAnswers: boolean,
): Promise<{startedRuns: number; violations: string[]}> {
  const harness = CellHarness.create({
    seed,
    workerIds: ['cut', 'near'],
    milliCores: 20_000,
    overrides: {
      wrapLink: link =>
        replaceLinkCalls(link, {
          start: async order => {
            const outcome = await link.start(order);
            const {id} = Reflect.get(link, 'worker') as MemoryCellWorker;
            return losesAnswers && id === 'cut'
              ? {kind: 'uncertain', cause: 'the answer was lost'}
              : outcome;
          },
        }),
    },
  });
  const {virtualClock, workers, ledger} = harness;
  const host = harness.addHost('host');
  const cut = workers.get('cut');
  const faults = host.faults.get('cut');
  if (!cut || !faults) throw new RangeError('cut');
  // The entry of the new incarnation is not in the directory yet.
  const entry = cut.describe();
  cut.describe = () => entry;
  let startedRuns = 0;
  const start = cut.start.bind(cut);
  cut.start = order => {
    const outcome = start(order);
    if (outcome.kind === 'started') startedRuns++;
    return outcome;
  };
  void host.claim(0);
  await virtualClock.advance(4_000);
  host.log.answerMilliseconds = LOG_MILLISECONDS;
  const {queue, specification} = createSubmission(8);
  void host.owner?.submit('00000000000000aa', queue, specification);
  await virtualClock.advance(20);
  if (restarts) cut.restart();
  for (
    let elapsed = 0;
    elapsed < SIMULATED_MILLISECONDS;
    elapsed += STEP_MILLISECONDS
  ) {
    await virtualClock.advance(STEP_MILLISECONDS);
    for (const worker of workers.values()) worker.settle();
    if (startedRuns > 0) faults.isPartitioned = true;
  }
  host.kill();
  return {startedRuns, violations: ledger.violations};
}

async function findAll(restarts: boolean, losesAnswers = false) {
  const violations: string[] = [];
  let startedRuns = 0;
  for (const seed of SEEDS) {
    const result = await findViolations(seed, restarts, losesAnswers);
    violations.push(...result.violations);
    startedRuns += result.startedRuns;
  }
  // Without runs on the worker that is cut off the test would prove nothing.
  expect(startedRuns).toBeGreaterThan(SEEDS.length);
  return violations;
}

it('waits for the lease of a start that was answered before a cut', async () => {
  expect(await findAll(false)).toEqual([]);
});

// Guards against two runs of a task: a worker that restarted between its last
// poll and a start holds the longest lease, and the owner assumed its own.
it('waits for the lease of a start that met a new incarnation', async () => {
  expect(await findAll(true)).toEqual([]);
});

it('waits for the lease of an unanswered start before a cut', async () => {
  expect(await findAll(false, true)).toEqual([]);
});

// Guards against the same where no answer could show the new clock.
it.fails(
  'waits for the lease of an unanswered start to a new incarnation',
  async () => {
    expect(await findAll(true, true)).toEqual([]);
  },
);
