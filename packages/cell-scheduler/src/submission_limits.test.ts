import {InvalidInputError} from '@cardamomfield/errors';
import {expect, it} from 'vitest';
import {estimateMemoryBytes} from './estimate_memory_bytes.js';
import {RecordCodec} from './record_codec.js';
import {createSubmission} from './step_fixture.js';
import {SubmissionLimits} from './submission_limits.js';

const RECORD_BYTES = 262_144;
const LIMITS = SubmissionLimits.create({
  recordBytes: RECORD_BYTES,
  memoryBytes: 90_000_000,
});

/** Longest ID of a worker: the length of a key takes one byte. */
const WORKER_ID = 'w'.repeat(250);

// Guards against large work that is refused although it can be held.
it('accepts a step of 25,000 tasks and a submission of 2,000 steps', () => {
  const {queue, specification} = createSubmission('a', {taskCount: 25_000});
  expect(LIMITS.check(queue, specification).isRight()).toBe(true);
  const [step] = createSubmission('a').specification.steps;
  const steps = Array(2_000).fill(step) as Array<NonNullable<typeof step>>;
  const wide = {...specification, steps};
  expect(LIMITS.check(queue, wide).isRight()).toBe(true);
});

// Guards against submissions that no owner can record or hold.
it.each([
  ['tasks', {taskCount: 3_000_000}, {}],
  ['occurrences', {}, {occurrenceCount: 10 ** 9}],
  ['bytes of UTF-8', {}, {payload: '\u20ac'.repeat(RECORD_BYTES / 3)}],
])('refuses too many %s and names the limit', (_, step, fields) => {
  const {queue, specification} = createSubmission('a', step);
  const checked = LIMITS.check(queue, {...specification, ...fields});
  expect(checked.extract()).toBeInstanceOf(InvalidInputError);
  expect(String(checked.extract())).toMatch(/the limit is \d+ bytes/);
});

// Guards against a range of tasks that outgrows the largest record.
it('records each range of a step within the limit', () => {
  const submission = createSubmission('a', {taskCount: 25_000});
  const step = submission.stepsOf(0)[0]!;
  for (const task of step.tasks) {
    Object.assign(task, {
      phase: 'placed',
      attempt: 2 ** 31,
      failures: 2 ** 31,
      workerId: `${WORKER_ID}-${task.index}`,
      workerBornAt: Date.UTC(2026, 0, 1),
      workerAddress: '255.255.255.255:65535',
      checkpoint: 'c'.repeat(64),
    });
  }
  const sizes = RecordCodec.progressKeys(step).map((_, range) =>
    Buffer.byteLength(RecordCodec.encodeProgress(step, range)),
  );
  expect(sizes).toHaveLength(98);
  expect(Math.max(...sizes)).toBeLessThan(RECORD_BYTES);
});

/** Heap of an entry of a step's dependencies, and of its text in the record. */
const DEPENDENCY_BYTES = 8;
const CHARACTER_BYTES = 2;

// Guards against a budget that the next owner exceeds: it holds the text of the
// records while it builds the state from them.
it('counts the dependencies of a long chain of steps and their text', () => {
  const {specification} = createSubmission('a');
  const [step] = specification.steps;
  const steps = Array.from({length: 200}, () => step!);
  const chain = steps.map((each, index) => ({
    ...each,
    dependsOn: Array.from({length: index}, (_, earlier) => earlier),
  }));
  const entries = chain.flatMap(({dependsOn}) => dependsOn);
  const added =
    estimateMemoryBytes({...specification, steps: chain}) -
    estimateMemoryBytes({...specification, steps});
  expect(added).toBeGreaterThanOrEqual(
    entries.length * DEPENDENCY_BYTES +
      JSON.stringify(entries).length * CHARACTER_BYTES,
  );
});
