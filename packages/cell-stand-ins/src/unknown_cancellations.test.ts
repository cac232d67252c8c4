import {SubmissionState} from '@cardamomfield/cell-model';
import {NotFoundError} from '@cardamomfield/errors';
import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';

const ID = '00000000000000aa';

/** Largest number of recorded cancellations of unknown IDs, and their bytes. */
const MAXIMUM_RECORDS = 2_000;
const MAXIMUM_BYTES = 300_000;

/** Longer than the simulated owners keep endings. */
const RETENTION_MILLISECONDS = 610_000;

function idOf(index: number): string {
  return index.toString(16).padStart(16, '0');
}

// Guards against a log and a memory that callers fill at will: they choose the
// IDs that they cancel.
it('bounds the records of cancelled IDs that it does not know', async () => {
  const harness = CellHarness.create({seed: 1, workerIds: []});
  const {virtualClock, store} = harness;
  const host = harness.addHost('host');
  void host.claim(0);
  await virtualClock.advance(2_300);
  const outcomes: unknown[] = [];
  for (let index = 0; index < 2 * MAXIMUM_RECORDS; index++) {
    void host.owner
      ?.cancel(idOf(index))
      .then(outcome => outcomes.push(outcome.extract()));
  }
  await virtualClock.advance(1_000);
  const records = () => store.read().filter(({key}) => key.startsWith('e/'));
  expect(records()).toHaveLength(MAXIMUM_RECORDS);
  const bytes = records()
    .map(({key, value}) => key.length + value.length)
    .reduce((sum, each) => sum + each, 0);
  expect(bytes).toBeLessThan(MAXIMUM_BYTES);
  expect(outcomes).toHaveLength(2 * MAXIMUM_RECORDS);
  expect(outcomes.every(each => each instanceof NotFoundError)).toBe(true);
  await virtualClock.advance(RETENTION_MILLISECONDS);
  expect(records()).toEqual([]);
  void host.owner?.cancel(ID);
  await virtualClock.advance(100);
  expect(records()).toHaveLength(1);
  host.kill();
});

// Guards against a submission that nobody submitted being shown, and against one
// that runs although its cancellation was acknowledged before it arrived.
it('shows a cancelled ID only once it is submitted', async () => {
  const harness = CellHarness.create({seed: 1});
  const {virtualClock, ledger} = harness;
  const first = harness.addHost('first');
  const second = harness.addHost('second');
  void first.claim(0);
  await virtualClock.advance(2_300);
  const cancelled = first.owner?.cancel(ID);
  await virtualClock.advance(100);
  expect((await cancelled)?.extract()).toBeInstanceOf(NotFoundError);
  first.kill();
  void second.claim(1);
  await virtualClock.advance(2_300);
  const unknown = second.owner?.show(ID);
  await virtualClock.advance(100);
  expect((await unknown)?.extract()).toBeInstanceOf(NotFoundError);
  const {queue, specification} = createSubmission(1);
  const submitted = second.owner?.submit(ID, queue, specification);
  await virtualClock.advance(100);
  expect((await submitted)?.isRight()).toBe(true);
  const shown = second.owner?.show(ID);
  await virtualClock.advance(100);
  expect((await shown)?.extract()).toMatchObject({state: 'cancelled'});
  await virtualClock.advance(10_000);
  expect(ledger.runningTasks()).toEqual([]);
  second.kill();
});

// Guards against a state that the next owner contradicts: the first record of an
// ending proves nothing about the record that replaces it.
it('shows no ending from memory that only an earlier record of it has proved', async () => {
  const harness = CellHarness.create({seed: 1});
  const {virtualClock} = harness;
  const first = harness.addHost('first');
  const second = harness.addHost('second');
  void first.claim(0);
  await virtualClock.advance(2_300);
  first.log.answerMilliseconds = 20;
  void first.owner?.cancel(ID);
  await virtualClock.advance(10);
  const {queue, specification} = createSubmission(1);
  void first.owner?.submit(ID, queue, specification);
  // The store answers the first append and is then out of reach.
  first.log.isPartitioned = true;
  await virtualClock.advance(30);
  const shown = first.owner?.show(ID);
  const watched: {state?: string} = {};
  void shown?.then(result =>
    result.ifRight(({state}) => {
      watched.state = state;
    }),
  );
  await virtualClock.advance(1);
  void second.claim(1);
  await virtualClock.advance(2_300);
  const next = second.owner?.show(ID);
  await virtualClock.advance(100);
  expect((await next)?.extract()).toBeInstanceOf(NotFoundError);
  expect(watched.state).toBeUndefined();
  first.kill();
  second.kill();
});

// Guards against an answer of 410 by a former owner for a submission that a later
// one has accepted as cancelled and shows.
it('does not answer 410 from memory for an ID that a later owner shows', async () => {
  const harness = CellHarness.create({seed: 1});
  const {virtualClock} = harness;
  const first = harness.addHost('first');
  const second = harness.addHost('second');
  void first.claim(0);
  await virtualClock.advance(2_300);
  void first.owner?.cancel(ID);
  await virtualClock.advance(100);
  first.clock.pause();
  void second.claim(1);
  await virtualClock.advance(2_300);
  const {queue, specification} = createSubmission(1);
  const submitted = second.owner?.submit(ID, queue, specification);
  await virtualClock.advance(100);
  expect((await submitted)?.isRight()).toBe(true);
  const shown = second.owner?.show(ID);
  await virtualClock.advance(100);
  expect((await shown)?.extract()).toMatchObject({
    state: SubmissionState.enum.cancelled,
  });
  const {owner: former} = first;
  first.clock.resume();
  const outcome: {value?: unknown} = {};
  void former?.cancel(ID).then(result => {
    outcome.value = result.extract();
  });
  await virtualClock.advance(500);
  expect(outcome.value).not.toBeInstanceOf(NotFoundError);
  first.kill();
  second.kill();
});
