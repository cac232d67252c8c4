import type {StartOrder} from '@cardamomfield/cell-model';
import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import type {MemoryCellWorker} from './memory_cell_worker.js';
import {createSubmission} from './plain_submission.js';
import {replaceLinkCalls} from './replace_link_calls.js';

const SEEDS = Array.from({length: 20}, (_, index) => index + 1);

const STEP_MILLISECONDS = 10;
const ANSWER_MILLISECONDS = 300;

/** An unanswered order is carried out this much later, within 6 s. */
const LATE_MILLISECONDS = 4_000;

/** After the second try of a start. */
const RESTART_MILLISECONDS = 800;

const SIMULATED_MILLISECONDS = 9_000;

/**
 * Loses the answer to the first try of each start on one worker, and carries it
 * out late; the second try is answered. `restarts` says whether the worker then
 * restarts.
 */
async function findViolations(
  seed: number,
  restarts: boolean,
): Promise<{lateOrders: number; violations: string[]}> {
  let lateOrders = 0;
  const delayed = new Set<string>();
  const harness = CellHarness.create({
    seed,
    workerIds: ['slow', 'near'],
    milliCores: 20_000,
    overrides: {
      wrapLink: link => {
        const worker = Reflect.get(link, 'worker') as MemoryCellWorker;
        if (worker.id !== 'slow') return link;
        const {virtualClock} = harness;
        return replaceLinkCalls(link, {
          start: async (order: StartOrder) => {
            const sentAt = virtualClock.monotonicNow();
            const key = `${order.taskName} ${order.attempt}`;
            if (delayed.has(key)) return link.start(order);
            delayed.add(key);
            void virtualClock
              .sleepUntil(sentAt + LATE_MILLISECONDS)
              .then(() => {
                lateOrders++;
                worker.start(order);
              });
            await virtualClock.sleepUntil(sentAt + ANSWER_MILLISECONDS);
            return {kind: 'uncertain', cause: 'no answer'};
          },
        });
      },
    },
  });
  const {virtualClock, workers, ledger} = harness;
  const slow = workers.get('slow');
  if (!slow) throw new RangeError('slow');
  const host = harness.addHost('host');
  const advance = async (milliseconds: number) => {
    for (let time = 0; time < milliseconds; time += STEP_MILLISECONDS) {
      await virtualClock.advance(STEP_MILLISECONDS);
      for (const worker of workers.values()) worker.settle();
    }
  };
  void host.claim(0);
  await advance(2_300);
  const {queue, specification} = createSubmission(8, true);
  const single = {...specification, steps: specification.steps.slice(0, 1)};
  void host.owner?.submit('00000000000000aa', queue, single);
  await advance(RESTART_MILLISECONDS);
  if (restarts) slow.restart();
  await advance(SIMULATED_MILLISECONDS);
  host.kill();
  return {
    lateOrders,
    // The tasks of a service start again however they end.
    violations: ledger.violations.filter(
      violation => !violation.endsWith('after it was done'),
    ),
  };
}

async function findAll(restarts: boolean): Promise<string[]> {
  const violations: string[] = [];
  let lateOrders = 0;
  for (const seed of SEEDS) {
    const result = await findViolations(seed, restarts);
    violations.push(...result.violations);
    lateOrders += result.lateOrders;
  }
  // Without late orders the test would prove nothing.
  expect(lateOrders).toBeGreaterThan(SEEDS.length);
  return violations;
}

it('starts no second run by the late first try of a start', async () => {
  expect(await findAll(false)).toEqual([]);
});

// Guards against two runs of a task: the answer to a later try doesn't tell that
// the first one cannot be carried out any more by the next incarnation.
it('starts no second run by a late first try after a restart', async () => {
  expect(await findAll(true)).toEqual([]);
});
