import {UncertainError} from '@cardamomfield/errors';
import {Left} from 'purify-ts';
import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';
import {replaceLinkCalls} from './replace_link_calls.js';

const SEEDS = Array.from({length: 20}, (_, index) => index + 1);

/** Ends that a worker lists in one answer. */
const PAGE_SIZE = 500;

const OUTAGE_MILLISECONDS = 4_500;
const SIMULATED_MILLISECONDS = 4_000;
const STEP_MILLISECONDS = 10;

/**
 * Runs of tasks that had ended as done. Their starts get no answer, and their
 * stops reach the worker after they have ended. In an outage of the log, the
 * worker lists the given number of earlier ends before theirs.
 */
async function findRepeats(seed: number, earlierEnds: number) {
  const done = new Set<string>();
  const repeats: string[] = [];
  let isOutage = false;
  const harness = CellHarness.create({
    seed,
    milliCores: 20_000,
    overrides: {
      wrapLink: link =>
        replaceLinkCalls(link, {
          start: async order => {
            await link.start(order);
            return {kind: 'uncertain', cause: 'the answer was lost'};
          },
          stop: async (name, attempt, fencingToken) =>
            harness.ledger.isRunning(name)
              ? Left(UncertainError.create('the stop was lost'))
              : link.stop(name, attempt, fencingToken),
          poll: async order => {
            const acknowledged = order.acknowledgedEnd;
            const report = await link.poll({
              ...order,
              acknowledgedEnd: Math.max(0, acknowledged - earlierEnds),
            });
            return report.map(answer => {
              for (const {kind, taskName} of answer.ends) {
                if (kind === 'done') done.add(taskName);
              }
              const earlier = Array.from(
                {length: isOutage ? earlierEnds : 0},
                (_, index) => ({
                  number: index + 1,
                  taskName: `00000000000000ff.0.0.${index}`,
                  attempt: 1,
                  kind: 'failed' as const,
                  checkpoint: '',
                }),
              );
              const ends = answer.ends.map(end => ({
                ...end,
                number: end.number + earlierEnds,
              }));
              const page = [...earlier, ...ends]
                .filter(({number}) => number > acknowledged)
                .slice(0, PAGE_SIZE);
              return {
                ...answer,
                ends: page,
                hasMoreEnds: page.length >= PAGE_SIZE,
              };
            });
          },
        }),
    },
  });
  const {virtualClock, worker} = harness;
  const host = harness.addHost('host');
  const {queue, specification} = createSubmission(4);
  const single = {...specification, steps: specification.steps.slice(0, 1)};
  const start = worker.start.bind(worker);
  worker.start = order => {
    // The ends that are listed first cannot be acknowledged from now on.
    if (!isOutage) {
      isOutage = true;
      host.log.isPartitioned = true;
      // A change that the log does not take.
      void host.owner?.submit('00000000000000bb', queue, single);
    }
    const outcome = start(order);
    if (outcome.kind === 'started' && done.has(order.taskName)) {
      repeats.push(order.taskName);
    }
    return outcome;
  };
  const advance = async (milliseconds: number) => {
    for (let time = 0; time < milliseconds; time += STEP_MILLISECONDS) {
      await virtualClock.advance(STEP_MILLISECONDS);
      worker.settle();
    }
  };
  void host.claim(0);
  await advance(2_300);
  void host.owner?.submit('00000000000000aa', queue, single);
  await advance(OUTAGE_MILLISECONDS);
  host.log.isPartitioned = false;
  await advance(SIMULATED_MILLISECONDS);
  host.kill();
  return {repeats, doneCount: done.size};
}

async function findAll(earlierEnds: number): Promise<string[]> {
  const repeats: string[] = [];
  let doneCount = 0;
  for (const seed of SEEDS) {
    const result = await findRepeats(seed, earlierEnds);
    repeats.push(...result.repeats);
    doneCount += result.doneCount;
  }
  // Without tasks that were done the test would prove nothing.
  expect(doneCount).toBeGreaterThan(SEEDS.length);
  return repeats;
}

it('starts no task again whose run had ended before its stop', async () => {
  expect(await findAll(PAGE_SIZE / 2)).toEqual([]);
});

// Guards against tasks that run again after they were done: their ends were
// beyond the page of ends, so the owner took their runs for stopped ones.
it('starts no task again whose end is beyond the page at its stop', async () => {
  expect(await findAll(PAGE_SIZE)).toEqual([]);
});
