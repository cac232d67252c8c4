import type {ShardLog} from '@cardamomfield/cell-model';
import {UnavailableError, UncertainError} from '@cardamomfield/errors';
import {Left} from 'purify-ts';
import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';

const SENT = '00000000000000aa';
const UNSENT = '00000000000000bb';

// Guards against callers that wait until their deadline for an uncertain answer
// although their submission was never sent to the log, and against a submission
// that is refused but runs nevertheless.
it('refuses what was not sent to the log when an outage begins', async () => {
  const harness = CellHarness.create({seed: 3});
  const {virtualClock, store} = harness;
  const host = harness.addHost('host');
  void host.claim(0);
  await virtualClock.advance(2_300);
  const {queue, specification} = createSubmission(1);
  const sent = host.owner?.submit(SENT, queue, specification);
  await virtualClock.advance(1);
  store.isDown = true;
  await virtualClock.advance(100);
  const outcomes: unknown[] = [];
  for (const attempt of [1, 2]) {
    // A repeat with the same ID has the same outcome as the first attempt.
    void host.owner
      ?.submit(UNSENT, queue, specification)
      .then(outcome => outcomes.push(attempt, outcome.extract()));
  }
  await virtualClock.advance(1_000);
  expect(outcomes).toEqual([
    1,
    expect.any(UnavailableError),
    2,
    expect.any(UnavailableError),
  ]);
  store.isDown = false;
  await virtualClock.advance(20_000);
  expect((await sent)?.isRight()).toBe(true);
  expect(host.owner?.describe(SENT)).toBe('completed');
  expect(host.owner?.describe(UNSENT)).toBeUndefined();
  expect(store.read().filter(({key}) => key.includes(UNSENT))).toEqual([]);
  host.kill();
});

// Guards against using a change to probe whether the log is available again:
// the outcome of that change would be uncertain.
it('probes a failing log before it sends new submissions', async () => {
  const harness = CellHarness.create({seed: 3, workerIds: []});
  const {virtualClock, store} = harness;
  const host = harness.addHost('host');
  void host.claim(0);
  await virtualClock.advance(1_500);
  store.isDown = true;
  // The owner's regular confirmation of its epoch fails first.
  await virtualClock.advance(1_000);
  const {queue, specification} = createSubmission(1);
  const refused = host.owner?.submit(UNSENT, queue, specification);
  await virtualClock.advance(700);
  store.isDown = false;
  await virtualClock.advance(5_000);
  expect((await refused)?.extract()).toBeInstanceOf(UnavailableError);
  expect(store.read().filter(({key}) => key.includes(UNSENT))).toEqual([]);
  host.kill();
});

// Guards against a submission that is refused and runs all the same: it was
// recorded with the first part of its batch and cancelled during the outage.
it('refuses no submission whose record has been appended', async () => {
  const state = {isDown: false};
  const wrapLog = (log: ShardLog): ShardLog => ({
    readNewest: () => log.readNewest(),
    confirmEpoch: async epoch =>
      state.isDown
        ? Left(UnavailableError.create('down'))
        : log.confirmEpoch(epoch),
    append: async (records, epoch, sequence) => {
      // The first part of a batch reaches the store, nothing after it does.
      if (state.isDown && records.every(({key}) => key !== `s/${SENT}`)) {
        return Left(UncertainError.create('no answer'));
      }
      return log.append(records, epoch, sequence);
    },
  });
  const harness = CellHarness.create({
    seed: 1,
    overrides: {wrapLog, limits: {requestBytes: 2_400}},
  });
  const {virtualClock, ledger} = harness;
  const first = harness.addHost('first');
  const second = harness.addHost('second');
  void first.claim(0);
  await virtualClock.advance(4_000);
  const {queue, specification} = createSubmission(1);
  state.isDown = true;
  const posted = first.owner?.submit(SENT, queue, specification);
  void first.owner?.submit(UNSENT, queue, specification);
  const answer: {value?: unknown} = {};
  void posted?.then(result => {
    answer.value = result.extract();
  });
  await virtualClock.advance(50);
  expect(harness.store.read().map(({key}) => key)).toContain(`s/${SENT}`);
  expect(answer.value).toBeUndefined();
  // A cancellation of it is on its way; its ending cannot be recorded.
  void first.owner?.cancel(SENT);
  await virtualClock.advance(1_500);
  first.kill();
  state.isDown = false;
  void second.claim(1);
  await virtualClock.advance(3_200);
  const hasRun = ledger
    .runningTasks()
    .some(taskName => taskName.startsWith(SENT));
  expect({
    isRefused: answer.value instanceof UnavailableError,
    hasRun,
  }).toEqual({isRefused: false, hasRun: true});
  second.kill();
});
