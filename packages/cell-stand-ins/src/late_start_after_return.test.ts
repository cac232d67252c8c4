import type {StartOrder} from '@cardamomfield/cell-model';
import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import type {MemoryCellWorker} from './memory_cell_worker.js';
import {createSubmission} from './plain_submission.js';
import {replaceLinkCalls} from './replace_link_calls.js';

const SEEDS = Array.from({length: 10}, (_, index) => index + 1);

const STEP_MILLISECONDS = 20;

/** Puts the former incarnation's clock far ahead of the new one. */
const FORMER_INCARNATION_MILLISECONDS = 20_000;

const ANSWER_MILLISECONDS = 300;

/** An unanswered order is carried out this much later. */
const LATE_MILLISECONDS = 11_000;

/** After the second try of each start. */
const CRASH_MILLISECONDS = 800;

/** Long enough for the owner to end its session with the worker. */
const AWAY_MILLISECONDS = 8_000;

const SIMULATED_MILLISECONDS = 6_000;

/**
 * Leaves the first try of each start on one worker unanswered and carries it
 * out late. The worker crashes, its entry is removed, and it is back under the
 * same ID before the late starts arrive.
 */
async function findViolations(
  seed: number,
): Promise<{lateOrders: number; violations: string[]}> {
  let lateOrders = 0;
  const delayed = new Set<string>();
  const harness = CellHarness.create({
    seed,
    workerIds: ['away', 'near'],
    milliCores: 20_000,
    overrides: {
      wrapLink: link => {
        const worker = Reflect.get(link, 'worker') as MemoryCellWorker;
        if (worker.id !== 'away') return link;
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
  const host = harness.addHost('host');
  const away = workers.get('away');
  const faults = host.faults.get('away');
  if (!away || !faults) throw new RangeError('away');
  const advance = async (milliseconds: number) => {
    for (let time = 0; time < milliseconds; time += STEP_MILLISECONDS) {
      await virtualClock.advance(STEP_MILLISECONDS);
      for (const worker of workers.values()) worker.settle();
    }
  };
  void host.claim(0);
  await advance(FORMER_INCARNATION_MILLISECONDS);
  const {queue, specification} = createSubmission(8);
  const steps = specification.steps.slice(0, 1);
  void host.owner?.submit('00000000000000aa', queue, {
    ...specification,
    steps,
  });
  await advance(CRASH_MILLISECONDS);
  away.restart();
  away.isListed = false;
  faults.isPartitioned = true;
  await advance(AWAY_MILLISECONDS);
  away.isListed = true;
  faults.isPartitioned = false;
  await advance(SIMULATED_MILLISECONDS);
  host.kill();
  return {lateOrders, violations: ledger.violations};
}

// Guards against tasks that run again after they were done: a late start reaches
// a worker that has crashed and is back, in a new session of the same owner.
it('refuses late starts of an ended session', async () => {
  let lateOrders = 0;
  for (const seed of SEEDS) {
    const {violations, ...counts} = await findViolations(seed);
    lateOrders += counts.lateOrders;
    expect({seed, violations}).toEqual({seed, violations: []});
  }
  // Without late orders the test would prove nothing.
  expect(lateOrders).toBeGreaterThan(SEEDS.length);
});
