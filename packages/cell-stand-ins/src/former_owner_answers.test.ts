import type {TypedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';
import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';
import {replaceLinkCalls} from './replace_link_calls.js';
import type {SimulatedOwnerHost} from './simulated_owner_host.js';

const ID = '00000000000000aa';

/** Time until a claim is decided and the first list of workers is read. */
const CLAIM_MILLISECONDS = 2_000;

/** Time for an answer that needs several calls to the store. */
const ANSWER_MILLISECONDS = 3_000;

/** Time in which the tasks of a submission start. */
const START_MILLISECONDS = 1_000;

/** Time in which a submission completes whose runs take up to 40 s. */
const COMPLETION_MILLISECONDS = 120_000;

type Answer = Either<TypedError, unknown>;

/** Ways in which an owner is cut off, and how it comes to hear its callers. */
const CUTS = {
  'is cut off from the store': {
    begin: (host: SimulatedOwnerHost) => {
      host.log.isPartitioned = true;
    },
    end: () => undefined,
  },
  'wakes from a pause': {
    begin: (host: SimulatedOwnerHost) => host.clock.pause(),
    end: (host: SimulatedOwnerHost) => host.clock.resume(),
  },
};

interface Cell {
  harness: CellHarness;
  first: SimulatedOwnerHost;
  second: SimulatedOwnerHost;
  /** Names of the tasks that have started on the worker. */
  started: string[];
}

/** A cell whose shard the first of two hosts owns. */
async function createCell(
  overrides: Parameters<typeof CellHarness.create>[0]['overrides'] = {},
): Promise<Cell> {
  const harness = CellHarness.create({seed: 1, overrides});
  const {virtualClock, worker} = harness;
  const started: string[] = [];
  const start = worker.start.bind(worker);
  worker.start = (order, sentAt) => {
    const outcome = start(order, sentAt);
    if (outcome.kind === 'started') started.push(order.taskName);
    return outcome;
  };
  const first = harness.addHost('first');
  const second = harness.addHost('second');
  void first.claim(0);
  await virtualClock.advance(CLAIM_MILLISECONDS);
  expect(first.owner).toBeDefined();
  return {harness, first, second, started};
}

/** Lets the second host claim the shard while the first one may go on. */
async function takeOver({harness, first, second}: Cell): Promise<void> {
  void second.claim(Math.max(1, first.term));
  await harness.virtualClock.advance(CLAIM_MILLISECONDS);
  expect(second.owner).toBeDefined();
}

function submit(
  {owner}: SimulatedOwnerHost,
  isService = false,
): Promise<Answer> | undefined {
  const {queue, specification} = createSubmission(3, isService);
  return owner?.submit(ID, queue, specification);
}

/** What a call was answered: `done`, a state, a code, or no answer in time. */
async function outcomeOf(
  {harness}: Cell,
  call: Promise<Answer> | undefined,
): Promise<string> {
  let outcome = 'no answer';
  void call?.then(answer => {
    outcome = answer.caseOf({
      Left: error => error.code,
      Right: value => (value as {state?: string}).state ?? 'done',
    });
  });
  await harness.virtualClock.advance(ANSWER_MILLISECONDS);
  return outcome;
}

/** An owner without news of a second one, which has accepted a submission. */
async function replaceOwner(cut: (typeof CUTS)[keyof typeof CUTS]) {
  const cell = await createCell();
  cut.begin(cell.first);
  await takeOver(cell);
  expect(await outcomeOf(cell, submit(cell.second))).toBe('done');
  expect(cell.started.length).toBeGreaterThan(0);
  cut.end(cell.first);
  expect(cell.first.owner).toBeDefined();
  return cell;
}

for (const [name, cut] of Object.entries(CUTS)) {
  // Guards against UNASKED: a former owner told callers from memory that a job
  // never runs, which a later owner had accepted.
  it(`acknowledges no cancellation at an owner that ${name}`, async () => {
    const cell = await replaceOwner(cut);
    const outcome = await outcomeOf(cell, cell.first.owner?.cancel(ID));
    expect(['done', 'not-found']).not.toContain(outcome);
  });

  // Guards against LOST: an accepted job shown as unknown from memory.
  it(`does not show an accepted job as unknown at an owner that ${name}`, async () => {
    const cell = await replaceOwner(cut);
    const outcome = await outcomeOf(cell, cell.first.owner?.show(ID));
    expect(outcome).not.toBe('not-found');
  });

  // Guards against an old state shown after the new owner's acknowledgement.
  it(`does not show a cancelled job as running at an owner that ${name}`, async () => {
    const cell = await createCell();
    expect(await outcomeOf(cell, submit(cell.first, true))).toBe('done');
    cut.begin(cell.first);
    await takeOver(cell);
    const cancelled = await outcomeOf(cell, cell.second.owner?.cancel(ID));
    expect(cancelled).toBe('done');
    cut.end(cell.first);
    const outcome = await outcomeOf(cell, cell.first.owner?.show(ID));
    expect(['queued', 'running']).not.toContain(outcome);
  });

  // Guards against an old state shown after the new owner has shown the end.
  it(`does not show a completed job as running at an owner that ${name}`, async () => {
    const cell = await createCell();
    expect(await outcomeOf(cell, submit(cell.first))).toBe('done');
    cut.begin(cell.first);
    await takeOver(cell);
    await cell.harness.virtualClock.advance(COMPLETION_MILLISECONDS);
    const completed = await outcomeOf(cell, cell.second.owner?.show(ID));
    expect(completed).toBe('completed');
    cut.end(cell.first);
    const outcome = await outcomeOf(cell, cell.first.owner?.show(ID));
    expect(['queued', 'running']).not.toContain(outcome);
  });
}

// Guards against a job that runs although its caller was told that it does not
// exist: the submission was still on its way.
it('never runs a job that was cancelled before it arrived', async () => {
  const cell = await createCell();
  const cancelled = await outcomeOf(cell, cell.first.owner?.cancel(ID));
  expect(cancelled).toBe('not-found');
  await outcomeOf(cell, submit(cell.first));
  await cell.harness.virtualClock.advance(START_MILLISECONDS);
  expect(cell.started).toEqual([]);
});

// Guards against the same when another host owns the shard by then.
it('never runs a job that was cancelled at the owner before', async () => {
  const cell = await createCell();
  const cancelled = await outcomeOf(cell, cell.first.owner?.cancel(ID));
  expect(cancelled).toBe('not-found');
  cell.first.kill();
  await takeOver(cell);
  await outcomeOf(cell, submit(cell.second));
  await cell.harness.virtualClock.advance(START_MILLISECONDS);
  expect(cell.started).toEqual([]);
});

// Guards against a job shown as cancelled that the next owner goes on with.
it('shows no cancellation before it is durable', async () => {
  const cell = await createCell();
  expect(await outcomeOf(cell, submit(cell.first, true))).toBe('done');
  cell.first.log.isPartitioned = true;
  void cell.first.owner?.cancel(ID);
  const shown = await outcomeOf(cell, cell.first.owner?.show(ID));
  cell.first.kill();
  await takeOver(cell);
  const shownNext = await outcomeOf(cell, cell.second.owner?.show(ID));
  expect(shownNext).toBe('running');
  expect(shown).not.toBe('cancelled');
});

// Guards against a job shown as failed that the next owner goes on with.
it('shows no failure before it is durable', async () => {
  let fails = false;
  const cell = await createCell({
    wrapLink: link =>
      replaceLinkCalls(link, {
        poll: async order => {
          const report = await link.poll(order);
          return report.map(({ends, ...rest}) => ({
            ...rest,
            ends: ends.map(end => (fails ? {...end, kind: 'failed'} : end)),
          }));
        },
      }),
  });
  const {queue, specification} = createSubmission(3);
  const accepted = cell.first.owner?.submit(
    ID,
    {...queue, maximumAttempts: 1},
    specification,
  );
  await cell.harness.virtualClock.advance(100);
  expect((await accepted)?.isRight()).toBe(true);
  fails = true;
  cell.first.log.isPartitioned = true;
  await cell.harness.virtualClock.advance(ANSWER_MILLISECONDS);
  expect(cell.first.owner?.describe(ID)).toBe('failed');
  const shown = await outcomeOf(cell, cell.first.owner?.show(ID));
  fails = false;
  cell.first.kill();
  await takeOver(cell);
  const shownNext = await outcomeOf(cell, cell.second.owner?.show(ID));
  expect(shownNext).not.toBe('failed');
  expect(shown).not.toBe('failed');
});

// Guards against an acknowledged job that no owner knows: its record and its
// ending were both still on their way.
it('accepts no job on the strength of a cancellation that is not durable', async () => {
  const cell = await createCell();
  cell.first.log.isPartitioned = true;
  void submit(cell.first);
  void cell.first.owner?.cancel(ID);
  expect(await outcomeOf(cell, submit(cell.first))).not.toBe('done');
});

// Guards against the same for a job that the owner first hears of by its
// cancellation.
it('accepts no unknown job while its cancellation is not durable', async () => {
  const cell = await createCell();
  cell.first.log.isPartitioned = true;
  void cell.first.owner?.cancel(ID);
  expect(await outcomeOf(cell, submit(cell.first))).not.toBe('done');
});
