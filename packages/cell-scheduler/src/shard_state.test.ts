import {expect, it} from 'vitest';
import {RecordCodec} from './record_codec.js';
import {ShardState} from './shard_state.js';
import {createSubmission} from './step_fixture.js';
import {SubmissionLimits} from './submission_limits.js';
import type {SubmissionRecord} from './submission_record.js';

const LIMITS = SubmissionLimits.create({
  recordBytes: 262_144,
  memoryBytes: 90_000_000,
});
const ID = '00000000000000aa';
const TASK_COUNT = 1_000;

/** Records of a submission whose first step has some progress. */
function recordsOf(submission: SubmissionRecord): Map<string, string> {
  const step = submission.stepsOf(0)[0]!;
  const records = new Map([
    [
      RecordCodec.submissionKey(ID),
      RecordCodec.encodeSubmission(submission),
    ] as const,
  ]);
  for (const [range, key] of RecordCodec.progressKeys(step).entries()) {
    records.set(key, RecordCodec.encodeProgress(step, range));
  }
  return records;
}

function restore(records: ReadonlyMap<string, string>) {
  const state = ShardState.create();
  const restored = state.restore(new Map(records), LIMITS);
  return {restored, step: state.submissions.get(ID)?.stepsOf(0)[0]};
}

// Guards against progress of a large step that is lost between two ranges.
it('restores each range of a large step', () => {
  const submission = createSubmission(ID, {taskCount: TASK_COUNT});
  const tasks = submission.stepsOf(0)[0]!.tasks;
  for (const index of [0, 255, 256, 999]) {
    Object.assign(tasks[index]!, {phase: 'done', attempt: 2});
  }
  const {step, restored} = restore(recordsOf(submission));
  const done = step?.tasks.filter(({phase}) => phase === 'done');
  expect(done?.map(({index}) => index)).toEqual([0, 255, 256, 999]);
  expect(step?.doneCount).toBe(4);
  expect(Object.values(restored).flat()).toEqual([]);
});

// Guards against an update at which the tasks of large steps start again: an
// earlier version recorded the progress of a whole step in one record.
it('restores a large step from the records of an earlier version', () => {
  const submission = createSubmission(ID, {taskCount: TASK_COUNT});
  const {queue, specification} = submission;
  const progress = {
    gangAttempt: 0,
    gangFailures: 0,
    tasks: Array.from({length: TASK_COUNT}, () => [2, 1, 0, '', 0, '']),
  };
  const rangeKey = `r/${ID}.0.0.1`;
  const records = new Map([
    [`s/${ID}`, JSON.stringify({queue, specification, acceptedAt: 1})],
    [`p/${ID}.0.0`, JSON.stringify(progress)],
    // Ranges beside the earlier form were written before it.
    [rangeKey, RecordCodec.encodeProgress(submission.stepsOf(0)[0]!, 1)],
  ]);
  const {step, restored} = restore(records);
  expect(step?.doneCount).toBe(TASK_COUNT);
  expect(restored).toMatchObject({outdated: [ID], obsolete: [rangeKey]});
});

// Guards against a gang that never starts again: its owner ended between the
// appends of two ranges, and only one of them says that the gang is done.
it('restores a gang from ranges of different appends', () => {
  const gang = {taskCount: TASK_COUNT, isGang: true};
  const done = createSubmission(ID, gang);
  for (const task of done.stepsOf(0)[0]!.tasks) task.phase = 'done';
  const records = recordsOf(createSubmission(ID, gang));
  records.set(
    `r/${ID}.0.0.0`,
    RecordCodec.encodeProgress(done.stepsOf(0)[0]!, 0),
  );
  const {step} = restore(records);
  expect(step?.isDone).toBe(true);
  expect(step?.tasks.every(({phase}) => phase === 'done')).toBe(true);
});

// Guards against owners that run out of heap one after the other: each held the
// text of all records beside the state that it had built from them.
it('removes each record once it is restored', () => {
  const records = new Map(recordsOf(createSubmission(ID)));
  records.set('unknown', 'value');
  ShardState.create().restore(records, LIMITS);
  expect([...records.keys()]).toEqual(['unknown']);
});
