import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';
import {replaceLinkCalls} from './replace_link_calls.js';

const SEEDS = [1, 2, 3];

/** Ends that a worker lists in one answer. */
const PAGE_SIZE = 500;

/** So many that the ends of more than one page wait for the new owner. */
const TASK_COUNT = 2_000;

/** Part of the tasks' run time; their lease lasts longer. */
const OWNERLESS_MILLISECONDS = 2_000;

async function listViolations(seed: number): Promise<string[]> {
  const harness = CellHarness.create({
    seed,
    milliCores: TASK_COUNT * 1_500,
    overrides: {
      wrapLink: link =>
        replaceLinkCalls(link, {
          poll: async order => {
            const report = await link.poll(order);
            return report.map(answer => ({
              ...answer,
              ends: answer.ends.slice(0, PAGE_SIZE),
              hasMoreEnds: answer.ends.length >= PAGE_SIZE,
            }));
          },
        }),
    },
  });
  const {virtualClock, store, worker, ledger} = harness;
  const first = harness.addHost('first');
  const second = harness.addHost('second');
  void first.claim(0);
  await virtualClock.advance(2_300);
  const {queue, specification} = createSubmission(TASK_COUNT);
  const steps = specification.steps.slice(0, 1);
  void first.owner?.submit('00000000000000aa', queue, {
    ...specification,
    steps,
  });
  await virtualClock.advance(300);
  const epoch = (first.owner?.epoch ?? 0) + 1;
  first.kill();
  // The worker has restarted between the intents and the starts.
  const {bornAtUnixMilliseconds: bornAt} = worker.describe();
  const records = store.read().map(({key, value}) => ({
    key,
    value: value.replaceAll(`"worker",${bornAt}`, `"worker",${bornAt - 1}`),
  }));
  store.append(records, epoch, 1);
  await virtualClock.advance(OWNERLESS_MILLISECONDS);
  worker.settle();
  void second.claim(1);
  await virtualClock.advance(8_000);
  second.kill();
  return ledger.violations;
}

// Guards against tasks that a new owner starts again after they were done: the
// first list of their worker has more ends than it shows in one answer.
it('keeps runs whose ends are beyond the first list after a takeover', async () => {
  for (const seed of SEEDS) {
    expect({seed, violations: await listViolations(seed)}).toEqual({
      seed,
      violations: [],
    });
  }
});
