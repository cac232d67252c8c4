import {Queue, SubmissionSpecification} from '@cardamomfield/cell-model';
import {z} from 'zod';
import {CompactSpecification} from './compact_specification.js';
import {EndedSubmission} from './ended_submission.js';
import {isLargeSubmission} from './is_large_submission.js';
import {NearPlaceWait} from './near_place_wait.js';
import type {RecordName} from './record_name.js';
import {StepProgress} from './step_progress.js';
import type {StepState} from './step_state.js';
import {SubmissionRecord} from './submission_record.js';
import type {TaskState} from './task_state.js';

const PHASES = ['waiting', 'placed', 'done'] as const;

/** Number of consecutive tasks of a step that share a progress record. */
const TASKS_PER_RANGE = 256;

/** Prefixes of keys, in the order in which records are restored. */
const PREFIXES = {
  ending: 'e/',
  submission: 's/',
  /** Progress of a whole step. */
  progress: 'p/',
  /** Progress of a range of a step's tasks. */
  range: 'r/',
} as const;

const SubmissionValue = z.object({
  queue: Queue,
  specification: SubmissionSpecification,
  acceptedAt: z.number(),
  /** Missing in records of earlier versions. */
  acceptedWithin: z.number().optional(),
  /** Missing for submissions that belong to no team. */
  team: z.string().optional(),
});

const CompactSubmissionValue = z
  .object({
    queue: Queue,
    compact: CompactSpecification,
    acceptedAt: z.number(),
    acceptedWithin: z.number().optional(),
    team: z.string().optional(),
  })
  .transform(({compact, ...rest}) => ({...rest, specification: compact}));

/**
 * Encodes and decodes the keys and values of a shard's records.
 *
 * The progress of a small submission takes one record a step. In a large one it
 * is recorded in ranges of tasks, so that no record outgrows the log's limit.
 * Its own record has a form that versions without ranges do not read, and so
 * leave unchanged together with the ranges.
 */
export class RecordCodec {
  static get prefixes(): string[] {
    return Object.values(PREFIXES);
  }

  static submissionKey(id: string): string {
    return `${PREFIXES.submission}${id}`;
  }

  static endingKey(id: string): string {
    return `${PREFIXES.ending}${id}`;
  }

  /** Key of the record that holds the progress of a task. */
  static progressKey(step: StepState, task: TaskState): string {
    if (!step.submission.isLarge) return `${PREFIXES.progress}${step.name}`;
    return rangeKey(step, Math.floor(task.index / TASKS_PER_RANGE));
  }

  /** Keys of all records that hold the progress of a step. */
  static progressKeys(step: StepState): string[] {
    if (!step.submission.isLarge) return [`${PREFIXES.progress}${step.name}`];
    const count = Math.ceil(step.tasks.length / TASKS_PER_RANGE);
    return Array.from({length: count}, (_, range) => rangeKey(step, range));
  }

  /** Undefined for the key of another kind of record. */
  static parseKey(key: string): RecordName | undefined {
    const entry = Object.entries(PREFIXES).find(([, prefix]) =>
      key.startsWith(prefix),
    );
    if (!entry) return undefined;
    const [kind, prefix] = entry as [RecordName['kind'], string];
    const parts = key.slice(prefix.length).split('.');
    const [id = '', occurrence, step, range] = parts;
    return {
      kind,
      id,
      occurrence: Number(occurrence),
      step: Number(step),
      range: Number(range ?? 0),
    };
  }

  static encodeSubmission(submission: SubmissionRecord): string {
    return encodeSpecification(
      submission.queue,
      submission.specification,
      submission.acceptedAtUnixMilliseconds,
      submission.acceptedWithinBytes,
      submission.team,
    );
  }

  /** Bytes that the record of a submission has at most, with its key. */
  static largestSubmissionBytes(
    queue: Queue,
    specification: SubmissionSpecification,
    team = '',
  ): number {
    const key = RecordCodec.submissionKey('0'.repeat(16));
    const value = encodeSpecification(
      queue,
      specification,
      Number.MAX_SAFE_INTEGER,
      Number.MAX_SAFE_INTEGER,
      team,
    );
    return Buffer.byteLength(key) + Buffer.byteLength(value);
  }

  static encodeEnding(ended: EndedSubmission): string {
    return JSON.stringify(ended);
  }

  /** The progress of a step or of one range of its tasks. */
  static encodeProgress(
    step: StepState,
    range = 0,
    includesCheckpoints = true,
  ): string {
    const tasks = tasksOf(step, range);
    const progress: StepProgress = {
      gangAttempt: step.gangAttempt,
      gangFailures: step.gangFailures,
      lastFailedGangAttempt: step.specification.isGang
        ? step.lastFailedGangAttempt
        : undefined,
      tasks: tasks.map(task => encodeTask(task, includesCheckpoints)),
      addresses: addressesOf(tasks),
      confirmed: step.specification.isService ? confirmedIn(tasks) : undefined,
      nearPlaceUntil:
        range === 0 ? step.nearPlaceWait?.endsAtUnixMilliseconds : undefined,
    };
    return JSON.stringify(progress);
  }

  /** Throws when the value does not match its schema. */
  static decodeSubmission(id: string, value: string): SubmissionRecord {
    const json: unknown = JSON.parse(value);
    const {queue, specification, acceptedAt, acceptedWithin, team} = isCompact(
      json,
    )
      ? CompactSubmissionValue.parse(json)
      : SubmissionValue.parse(json);
    return SubmissionRecord.create(
      id,
      queue,
      specification,
      acceptedAt,
      acceptedWithin,
      team,
    );
  }

  /** True if the record of a submission has the form of a small one. */
  static hasSmallForm(value: string): boolean {
    return !isCompact(JSON.parse(value));
  }

  /** Throws when the value does not match its schema. */
  static decodeEnding(value: string): EndedSubmission {
    return EndedSubmission.parse(JSON.parse(value));
  }

  /** Throws when the value does not match its schema. */
  static applyProgress(step: StepState, value: string, firstTask = 0): void {
    const progress = StepProgress.parse(JSON.parse(value));
    step.gangAttempt = Math.max(step.gangAttempt, progress.gangAttempt);
    if (step.specification.isGang) applyGangFailures(step, progress);
    if (progress.nearPlaceUntil !== undefined) {
      step.nearPlaceWait = NearPlaceWait.restore(progress.nearPlaceUntil);
    }
    progress.tasks.forEach((row, index) => {
      const task = step.tasks[firstTask + index];
      if (!task) return;
      const [phase, attempt, failures, workerId, bornAt, checkpoint] = row;
      const wasDone = task.phase === 'done';
      task.phase = PHASES[phase] ?? 'waiting';
      task.attempt = attempt;
      task.failures = failures;
      task.workerId = workerId;
      task.workerBornAt = bornAt;
      task.workerAddress = progress.addresses?.[workerId] ?? '';
      task.checkpoint = checkpoint;
      task.isStartConfirmed = progress.confirmed?.includes(index) ?? false;
      if (attempt > 0) step.submission.hasStarted = true;
      step.doneCount += Number(task.phase === 'done') - Number(wasDone);
    });
  }

  /** Index of the first task of a range. */
  static firstTaskOf(range: number): number {
    return range * TASKS_PER_RANGE;
  }
}

/**
 * An earlier version counted every member that failed. A member fails at most
 * once in a run, so the failures of one member are a lower bound of the gang's
 * failed runs. The newest run may be among them and must not count again.
 */
function applyGangFailures(step: StepState, progress: StepProgress): void {
  const {gangAttempt, gangFailures, lastFailedGangAttempt, tasks} = progress;
  const memberFailures = tasks.map(([, , failures]) => failures);
  const failures =
    lastFailedGangAttempt === undefined
      ? Math.max(0, ...memberFailures)
      : gangFailures;
  step.gangFailures = Math.max(step.gangFailures, failures);
  step.lastFailedGangAttempt = Math.max(
    step.lastFailedGangAttempt,
    lastFailedGangAttempt ?? gangAttempt,
  );
}

function isCompact(value: unknown): boolean {
  return typeof value === 'object' && value !== null && 'compact' in value;
}

function rangeKey(step: StepState, range: number): string {
  return `${PREFIXES.range}${step.name}.${range}`;
}

function tasksOf(step: StepState, range: number): TaskState[] {
  if (!step.submission.isLarge) return step.tasks;
  const first = RecordCodec.firstTaskOf(range);
  return step.tasks.slice(first, first + TASKS_PER_RANGE);
}

function encodeSpecification(
  queue: Queue,
  specification: SubmissionSpecification,
  acceptedAt: number,
  acceptedWithin: number | undefined,
  team: string,
): string {
  const rest = {acceptedAt, acceptedWithin, team: team || undefined};
  if (!isLargeSubmission(specification)) {
    return JSON.stringify({queue, specification, ...rest});
  }
  const compact = CompactSpecification.encode(specification);
  return JSON.stringify({queue, compact, ...rest});
}

function addressesOf(tasks: TaskState[]): Record<string, string> {
  const newest = new Map<string, TaskState>();
  for (const task of tasks) {
    if (task.phase !== 'placed') continue;
    const other = newest.get(task.workerId);
    if (!other || task.workerBornAt > other.workerBornAt) {
      newest.set(task.workerId, task);
    }
  }
  const addresses: Record<string, string> = {};
  for (const [workerId, {workerAddress}] of newest) {
    if (workerAddress !== '') addresses[workerId] = workerAddress;
  }
  return addresses;
}

function confirmedIn(tasks: TaskState[]): number[] {
  return tasks.flatMap((task, position) =>
    task.phase === 'placed' && task.isStartConfirmed ? [position] : [],
  );
}

function encodeTask(
  task: TaskState,
  includesCheckpoint: boolean,
): StepProgress['tasks'][number] {
  const isPlaced = task.phase === 'placed';
  return [
    PHASES.indexOf(task.phase),
    task.attempt,
    task.failures,
    isPlaced ? task.workerId : '',
    isPlaced ? task.workerBornAt : 0,
    includesCheckpoint ? task.checkpoint : '',
  ];
}
