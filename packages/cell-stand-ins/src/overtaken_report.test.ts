import {Right} from 'purify-ts';
import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import type {MemoryCellWorker} from './memory_cell_worker.js';
import {createSubmission} from './plain_submission.js';
import {replaceLinkCalls} from './replace_link_calls.js';

const SEEDS = Array.from({length: 60}, (_, index) => index + 1);

/** Longer than a worker needs to restart and to be polled again. */
const LOG_MILLISECONDS = 1_400;

/** Seeds restart the worker at times that differ by this. */
const RESTART_STEP_MILLISECONDS = 40;

/** Longest delay of an answer, within the time limit of a poll. */
const MAXIMUM_DELAY_MILLISECONDS = 200;

const ENTRY_MILLISECONDS = 2_000;
const SIMULATED_MILLISECONDS = 4_000;
const STEP_MILLISECONDS = 10;

/**
 * Lets the answer to a start overtake the answer to an earlier poll. With
 * `restarts`, that poll is the first one that a new incarnation answers.
 */
async function findViolations(
  seed: number,
  restarts: boolean,
): Promise<{overtaken: number; violations: string[]}> {
  let overtaken = 0;
  let startedRuns = 0;
  let isArmed = false;
  let armedBornAt = 0;
  const harness = CellHarness.create({
    seed,
    workerIds: ['slow', 'near'],
    milliCores: 20_000,
    overrides: {
      wrapLink: link => {
        const {id} = Reflect.get(link, 'worker') as MemoryCellWorker;
        if (id !== 'slow') return link;
        return replaceLinkCalls(link, {
          poll: async order => {
            const report = await link.poll(order);
            const bornAt = report.map(answer => answer.bornAtUnixMilliseconds);
            if (!isArmed || !bornAt.equals(Right(armedBornAt))) return report;
            if (restarts) isArmed = false;
            const before = startedRuns;
            const {virtualClock} = harness;
            const readAt =
              virtualClock.monotonicNow() + MAXIMUM_DELAY_MILLISECONDS;
            while (
              startedRuns === before &&
              virtualClock.monotonicNow() < readAt
            ) {
              await virtualClock.sleepUntil(virtualClock.monotonicNow() + 5);
            }
            if (startedRuns === before) return report;
            overtaken++;
            host.log.answerMilliseconds = 0;
            isArmed = false;
            await virtualClock.sleepUntil(virtualClock.monotonicNow() + 20);
            return report;
          },
        });
      },
    },
  });
  const {virtualClock, workers, ledger} = harness;
  const slow = workers.get('slow');
  if (!slow) throw new RangeError('slow');
  const start = slow.start.bind(slow);
  slow.start = order => {
    const outcome = start(order);
    if (outcome.kind === 'started') startedRuns++;
    return outcome;
  };
  const host = harness.addHost('host');
  const advance = async (milliseconds: number) => {
    for (let time = 0; time < milliseconds; time += STEP_MILLISECONDS) {
      await virtualClock.advance(STEP_MILLISECONDS);
      for (const worker of workers.values()) worker.settle();
    }
  };
  void host.claim(0);
  await advance(2_300);
  const {queue, specification} = createSubmission(4, true);
  const single = {...specification, steps: specification.steps.slice(0, 1)};
  // Workers that run tasks are polled at short intervals.
  void host.owner?.submit('00000000000000aa', queue, single);
  await advance(1_000);
  host.log.answerMilliseconds = LOG_MILLISECONDS;
  const next = createSubmission(4).specification;
  void host.owner?.submit('00000000000000bb', queue, next);
  await advance(seed * RESTART_STEP_MILLISECONDS);
  const describe = slow.describe.bind(slow);
  // The entry of the new incarnation reaches the directory late.
  const entry = slow.describe();
  slow.describe = () => entry;
  if (restarts) slow.restart();
  armedBornAt = describe().bornAtUnixMilliseconds;
  isArmed = true;
  await advance(ENTRY_MILLISECONDS);
  slow.describe = describe;
  await advance(SIMULATED_MILLISECONDS);
  host.kill();
  return {
    overtaken,
    violations: ledger.violations.filter(
      violation => !violation.endsWith('after it was done'),
    ),
  };
}

async function findAll(restarts: boolean): Promise<string[]> {
  const violations: string[] = [];
  let overtaken = 0;
  for (const seed of SEEDS) {
    const result = await findViolations(seed, restarts);
    violations.push(...result.violations);
    overtaken += result.overtaken;
  }
  // Without overtaken answers the test would prove nothing.
  expect(overtaken).toBeGreaterThan(2);
  return violations;
}

it('keeps a run whose start was answered before an earlier poll', async () => {
  expect(await findAll(false)).toEqual([]);
});

// Guards against two runs of a task: the first report of a new incarnation was
// older than the answer to a start there, and the run counted as one of before.
it('keeps a run that started after the first report of a restart', async () => {
  expect(await findAll(true)).toEqual([]);
});
