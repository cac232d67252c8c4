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

const SIMULATED_MILLISECONDS = 9_000;

/**
 * Loses the answers to the starts on one worker and carries the first one out
 * late. With `restarts`, the worker restarts as soon as it has answered a stop.
 */
async function findViolations(
  seed: number,
  restarts: boolean,
): Promise<{lateOrders: number; violations: string[]}> {
  let lateOrders = 0;
  let hasRestarted = false;
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
            if (!delayed.has(order.taskName)) {
              delayed.add(order.taskName);
              void virtualClock
                .sleepUntil(sentAt + LATE_MILLISECONDS)
                .then(() => {
                  lateOrders++;
                  worker.start(order);
                });
            }
            await virtualClock.sleepUntil(sentAt + ANSWER_MILLISECONDS);
            return {kind: 'uncertain', cause: 'no answer'};
          },
          stop: async (name, attempt, fencingToken) => {
            const result = await link.stop(name, attempt, fencingToken);
            if (restarts && !hasRestarted && result.isRight()) {
              hasRestarted = true;
              void virtualClock
                .sleepUntil(virtualClock.monotonicNow() + 20)
                .then(() => worker.restart());
            }
            return result;
          },
        });
      },
    },
  });
  const {virtualClock, workers, ledger} = harness;
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

it('starts a task elsewhere once a stop has withdrawn its late start', async () => {
  expect(await findAll(false)).toEqual([]);
});

// Guards against two runs of a task: the stop was answered by the former
// incarnation, and a report of the new one counted as its confirmation.
it('withdraws a late start also from a worker that restarted after the stop', async () => {
  expect(await findAll(true)).toEqual([]);
});
