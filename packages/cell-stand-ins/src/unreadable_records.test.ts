import {SubmissionState} from '@cardamomfield/cell-model';
import {UnavailableError, UncertainError} from '@cardamomfield/errors';
import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';

const ID = '00000000000000aa';
const SUBMISSION_KEY = `s/${ID}`;
const PROGRESS_KEY = `p/${ID}.0.0`;
const ENDING_KEY = `e/${ID}`;

/** A value that only a later version reads. */
const LATER_VALUE = '{"form":"of a later version"}';

/** Starts an owner whose log holds the given records of an earlier owner. */
async function startOwner(records: Record<string, string>) {
  const harness = CellHarness.create({seed: 1});
  const {store, virtualClock} = harness;
  store.append(
    Object.entries(records).map(([key, value]) => ({key, value})),
    1,
    1,
  );
  const host = harness.addHost('host');
  void host.claim(0);
  await virtualClock.advance(2_300);
  const {owner} = host;
  if (!owner) throw new RangeError('the host has not claimed the shard');
  const keys = () => store.read().map(({key}) => key);
  /** The result of a call after time for the log. */
  const after = async <Result>(call: Promise<Result>) => {
    await virtualClock.advance(100);
    return call;
  };
  return {harness, host, owner, keys, after};
}

// Guards against an answer of 410 for a submission that the log holds, and
// against a repeat that replaces it, while hosts of two versions run.
it('answers nothing about a submission whose record it cannot read', async () => {
  const {host, owner, keys, after} = await startOwner({
    [SUBMISSION_KEY]: LATER_VALUE,
    [PROGRESS_KEY]: LATER_VALUE,
  });
  const shown = await after(owner.show(ID));
  expect(shown.extract()).toBeInstanceOf(UnavailableError);
  const {queue, specification} = createSubmission(1);
  const submitted = await after(owner.submit(ID, queue, specification));
  expect(submitted.extract()).toBeInstanceOf(UncertainError);
  expect(keys()).toEqual(
    expect.arrayContaining([SUBMISSION_KEY, PROGRESS_KEY]),
  );
  host.kill();
});

// Guards against a cancellation that is lost because only another version reads
// the submission.
it('cancels a submission whose record it cannot read', async () => {
  const {harness, host, owner, keys, after} = await startOwner({
    [SUBMISSION_KEY]: LATER_VALUE,
  });
  const cancelled = await after(owner.cancel(ID));
  expect(cancelled.isRight()).toBe(true);
  expect(keys()).toContain(ENDING_KEY);
  expect(keys()).not.toContain(SUBMISSION_KEY);
  host.kill();
  const next = harness.addHost('next');
  void next.claim(1);
  await harness.virtualClock.advance(2_300);
  expect(next.owner?.describe(ID)).toBe(SubmissionState.enum.cancelled);
  next.kill();
});

// Guards against a submission that runs again although it has ended: the record
// of its ending is not readable, and its own record still is.
it('does not run a submission with an ending that it cannot read', async () => {
  const first = await startOwner({});
  const {queue, specification} = createSubmission(1);
  void first.owner.submit(ID, queue, specification);
  await first.harness.virtualClock.advance(20);
  const record = first.harness.store
    .read()
    .find(({key}) => key === SUBMISSION_KEY);
  first.host.kill();
  const {harness, host, keys} = await startOwner({
    [SUBMISSION_KEY]: record?.value ?? '',
    [ENDING_KEY]: LATER_VALUE,
  });
  expect(keys()).toContain(SUBMISSION_KEY);
  await harness.virtualClock.advance(5_000);
  expect([...harness.ledger.runningTasks()]).toEqual([]);
  expect(host.owner?.describe(ID)).toBeUndefined();
  expect(keys()).toEqual(expect.arrayContaining([SUBMISSION_KEY, ENDING_KEY]));
  host.kill();
});
