import {RefusedError, UncertainError} from '@cardamomfield/errors';
import {Left} from 'purify-ts';
import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';
import {replaceLinkCalls} from './replace_link_calls.js';

const SEEDS = Array.from({length: 10}, (_, index) => index + 1);

const ODD_ENTRY_MILLISECONDS = 1_000;
const SIMULATED_MILLISECONDS = 8_000;
const STEP_MILLISECONDS = 50;

interface Variant {
  /** Start time that the odd entry names. */
  bornAt: 'kept' | 'missing';
  /**
   * Whether starts get no answer, so that their runs are to be stopped, and
   * stops are lost before the odd entry comes.
   */
  losesAnswers: boolean;
}

/**
 * Lists a worker that runs tasks under an unknown service and the address of
 * another worker, which refuses all calls.
 */
async function findViolations(
  seed: number,
  {bornAt, losesAnswers}: Variant,
): Promise<{startedRuns: number; violations: string[]}> {
  let isOdd = false;
  let startedRuns = 0;
  const refusal = () =>
    RefusedError.create('another worker answered', {reason: 'other-life'});
  const harness = CellHarness.create({
    seed,
    workerIds: ['listed', 'near'],
    milliCores: 20_000,
    overrides: {
      wrapLink: link => {
        if (isOdd) {
          return replaceLinkCalls(link, {
            poll: async () => Left(refusal()),
            stop: async () => Left(refusal()),
            start: async () => ({
              kind: 'refused',
              reason: 'other-life',
              clock: undefined,
            }),
          });
        }
        return replaceLinkCalls(link, {
          start: async order => {
            const outcome = await link.start(order);
            if (!losesAnswers) return outcome;
            return {kind: 'uncertain', cause: 'the answer was lost'};
          },
          stop: (name, attempt, fencingToken) =>
            losesAnswers
              ? Promise.resolve(Left(UncertainError.create('lost')))
              : link.stop(name, attempt, fencingToken),
        });
      },
    },
  });
  const {virtualClock, workers, ledger} = harness;
  const listed = workers.get('listed');
  if (!listed) throw new RangeError('listed');
  const start = listed.start.bind(listed);
  listed.start = order => {
    const outcome = start(order);
    if (outcome.kind === 'started') startedRuns++;
    return outcome;
  };
  const host = harness.addHost('host');
  void host.claim(0);
  await virtualClock.advance(2_500);
  const {queue, specification} = createSubmission(8);
  void host.owner?.submit('00000000000000aa', queue, specification);
  while (startedRuns === 0) await virtualClock.advance(1);
  const entry = listed.describe();
  listed.describe = () => ({
    ...entry,
    service: 'unknown',
    address: 'near:1',
    ...(bornAt === 'missing' ? {bornAtUnixMilliseconds: 0} : {}),
  });
  isOdd = true;
  await virtualClock.advance(ODD_ENTRY_MILLISECONDS);
  isOdd = false;
  listed.describe = () => entry;
  for (
    let elapsed = 0;
    elapsed < SIMULATED_MILLISECONDS;
    elapsed += STEP_MILLISECONDS
  ) {
    await virtualClock.advance(STEP_MILLISECONDS);
    for (const worker of workers.values()) worker.settle();
  }
  host.kill();
  return {startedRuns, violations: ledger.violations};
}

async function findAll(variant: Variant): Promise<string[]> {
  const violations: string[] = [];
  for (const seed of SEEDS) {
    violations.push(...(await findViolations(seed, variant)).violations);
  }
  return violations;
}

it('keeps the runs of a worker whose entry lacks its start time', async () => {
  expect(await findAll({bornAt: 'missing', losesAnswers: false})).toEqual([]);
});

// Guards against two runs of a task: an entry by another writer names another
// worker's address, and its refusal counted as the end of runs that go on.
it('keeps the runs of a worker whose entry names another address', async () => {
  expect(await findAll({bornAt: 'kept', losesAnswers: false})).toEqual([]);
});

// Guards against the same for a run that is being stopped, whatever start time
// the entry names.
it('keeps a run being stopped whose worker has another address', async () => {
  expect(await findAll({bornAt: 'missing', losesAnswers: true})).toEqual([]);
});
