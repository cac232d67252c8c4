import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';
import {replaceLinkCalls} from './replace_link_calls.js';

const SEEDS = [1, 2, 3];

/** Ends that a worker lists in one answer. */
const PAGE_SIZE = 500;

/** Longer than the runs that may outlast a lease. */
const SIMULATED_MILLISECONDS = 10_000;

const STEP_MILLISECONDS = 50;

/** Runs of tasks that had ended as done; in an outage no end is acknowledged. */
async function findRepeats(seed: number, taskCount: number): Promise<string[]> {
  const done = new Set<string>();
  const repeats: string[] = [];
  let polls = 0;
  const harness = CellHarness.create({
    seed,
    milliCores: 20_000,
    overrides: {
      wrapLink: link =>
        replaceLinkCalls(link, {
          poll: async order => {
            const report = await link.poll(order);
            return report.map(answer => {
              for (const {kind, taskName} of answer.ends) {
                if (kind === 'done') done.add(taskName);
              }
              // Runs without progress would be stopped.
              polls++;
              const running = answer.running.map(row => ({
                ...row,
                progressPercent: polls % 100,
              }));
              return {
                ...answer,
                running,
                ends: answer.ends.slice(0, PAGE_SIZE),
                hasMoreEnds: answer.ends.length >= PAGE_SIZE,
              };
            });
          },
        }),
    },
  });
  const {virtualClock, worker} = harness;
  const start = worker.start.bind(worker);
  worker.start = order => {
    const outcome = start(order);
    if (outcome.kind === 'started' && done.has(order.taskName)) {
      repeats.push(order.taskName);
    }
    return outcome;
  };
  const host = harness.addHost('host');
  void host.claim(0);
  await virtualClock.advance(2_300);
  const {queue, specification} = createSubmission(taskCount);
  const steps = specification.steps
    .slice(0, 1)
    .map(step => ({...step, milliCores: 1}));
  const submission = {...specification, steps};
  void host.owner?.submit('00000000000000aa', queue, submission);
  await virtualClock.advance(500);
  host.log.isPartitioned = true;
  await virtualClock.advance(4_500);
  expect(done.size).toBeGreaterThan(taskCount / 2);
  host.log.isPartitioned = false;
  for (
    let elapsed = 0;
    elapsed < SIMULATED_MILLISECONDS;
    elapsed += STEP_MILLISECONDS
  ) {
    await virtualClock.advance(STEP_MILLISECONDS);
    worker.settle();
  }
  host.kill();
  return repeats;
}

async function countRepeats(taskCount: number): Promise<number> {
  let count = 0;
  for (const seed of SEEDS) {
    count += (await findRepeats(seed, taskCount)).length;
  }
  return count;
}

it('starts no task again whose end is on the only page', async () => {
  expect(await countRepeats(400)).toBe(0);
});

// Guards against tasks that run again after they were done: their ends are
// beyond the page of ends, so the owner took them for runs that never started.
it('starts no task again whose end is beyond the page', async () => {
  expect(await countRepeats(900)).toBe(0);
});
