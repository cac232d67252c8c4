import {RefusedError, UncertainError} from '@cardamomfield/errors';
import {Left} from 'purify-ts';
import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import type {MemoryCellWorker} from './memory_cell_worker.js';
import {createSubmission} from './plain_submission.js';
import {replaceLinkCalls} from './replace_link_calls.js';

const SEEDS = Array.from({length: 20}, (_, index) => index + 1);
const FORMER_ADDRESS = 'moved:1';
const NEW_ADDRESS = 'moved:2';

const STEP_MILLISECONDS = 10;
const SIMULATED_MILLISECONDS = 6_000;

/**
 * Restarts a worker at another address while a start is being tried, so that
 * the new incarnation runs the task, and lets another worker answer at the
 * former address. Then the owner changes and the directory omits the worker.
 */
async function findViolations(
  seed: number,
): Promise<{triedStarts: number; violations: string[]}> {
  let address = FORMER_ADDRESS;
  let isReplaced = false;
  let linkAddress = () => address;
  let triedStarts = 0;
  const harness = CellHarness.create({
    seed,
    workerIds: ['moved'],
    milliCores: 20_000,
    overrides: {
      wrapLink: link => {
        const {id} = Reflect.get(link, 'worker') as MemoryCellWorker;
        if (id !== 'moved') return link;
        const calledAddress = linkAddress();
        const isReached = () => calledAddress === address;
        const failure = () =>
          isReplaced
            ? RefusedError.create('replaced', {reason: 'other-life'})
            : UncertainError.create('no answer');
        return replaceLinkCalls(link, {
          start: async order => {
            if (isReached()) return link.start(order);
            triedStarts++;
            await harness.virtualClock.sleepUntil(
              harness.virtualClock.monotonicNow() + 300,
            );
            return {kind: 'uncertain', cause: 'no answer'};
          },
          poll: async order => {
            if (isReached()) return link.poll(order);
            await harness.virtualClock.sleepUntil(
              harness.virtualClock.monotonicNow() + 10,
            );
            return Left(failure());
          },
          stop: async (name, attempt, fencingToken) =>
            isReached()
              ? link.stop(name, attempt, fencingToken)
              : Left(failure()),
        });
      },
    },
  });
  const {virtualClock, worker, workers, store, ledger} = harness;
  const describe = worker.describe.bind(worker);
  worker.describe = () => ({...describe(), address});
  const first = harness.addHost('first');
  const second = harness.addHost('second');
  const advance = async (milliseconds: number) => {
    for (let time = 0; time < milliseconds; time += STEP_MILLISECONDS) {
      await virtualClock.advance(STEP_MILLISECONDS);
      for (const each of workers.values()) each.settle();
    }
  };
  void first.claim(0);
  await advance(4_300);
  const {queue, specification} = createSubmission(1);
  const single = {...specification, steps: specification.steps.slice(0, 1)};
  void first.owner?.submit('00000000000000aa', queue, single);
  await advance(10);
  address = NEW_ADDRESS;
  worker.restart();
  await advance(1_500);
  isReplaced = true;
  worker.isListed = false;
  first.kill();
  // The next owner knows the worker from the records alone.
  const record = store.read().find(({key}) => key.startsWith('p/'))?.value;
  linkAddress = () =>
    record?.includes(NEW_ADDRESS) ? NEW_ADDRESS : FORMER_ADDRESS;
  harness.addWorker('near');
  void second.claim(1);
  await advance(SIMULATED_MILLISECONDS);
  second.kill();
  return {triedStarts, violations: ledger.violations};
}

// Guards against two runs of a task: the records named the incarnation and the
// address for which the run was placed, not those where it was started.
it('keeps a run that started in the next incarnation of its worker', async () => {
  const violations: string[] = [];
  let tried = 0;
  for (const seed of SEEDS) {
    const result = await findViolations(seed);
    violations.push(...result.violations);
    if (result.triedStarts > 0) tried++;
  }
  expect(tried).toBeGreaterThan(SEEDS.length / 2);
  expect(violations).toEqual([]);
});
