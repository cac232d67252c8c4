import {Queue, SubmissionSpecification} from '@cardamomfield/cell-model';
import {z} from 'zod';
import {EndedSubmission} from './ended_submission.js';
import {StepProgress} from './step_progress.js';
import type {StepState} from './step_state.js';
import {SubmissionRecord} from './submission_record.js';
import type {TaskState} from './task_state.js';

const PHASES = ['waiting', 'placed', 'done'] as const;

const SubmissionValue = z.object({
  queue: Queue,
  specification: SubmissionSpecification,
  acceptedAt: z.number(),
});

/** Encodes and decodes the keys and values of a shard's records. */
export class RecordCodec {
  static submissionKey(id: string): string {
    return `s/${id}`;
  }

  static endingKey(id: string): string {
    return `e/${id}`;
  }

  static progressKey(step: StepState): string {
    return `p/${step.name}`;
  }

  static encodeSubmission(submission: SubmissionRecord): string {
    return JSON.stringify({
      queue: submission.queue,
      specification: submission.specification,
      acceptedAt: submission.acceptedAtUnixMilliseconds,
    });
  }

  static encodeEnding(ended: EndedSubmission): string {
    return JSON.stringify(ended);
  }

  static encodeProgress(step: StepState): string {
    const progress: StepProgress = {
      gangAttempt: step.gangAttempt,
      gangFailures: step.gangFailures,
      tasks: step.tasks.map(encodeTask),
      addresses: addressesOf(step),
    };
    return JSON.stringify(progress);
  }

  /** Throws when the value does not match its schema. */
  static decodeSubmission(id: string, value: string): SubmissionRecord {
    const decoded = SubmissionValue.parse(JSON.parse(value));
    return SubmissionRecord.create(
      id,
      decoded.queue,
      decoded.specification,
      decoded.acceptedAt,
    );
  }

  /** Throws when the value does not match its schema. */
  static decodeEnding(value: string): EndedSubmission {
    return EndedSubmission.parse(JSON.parse(value));
  }

  /** Throws when the value does not match its schema. */
  static applyProgress(step: StepState, value: string): void {
    const progress = StepProgress.parse(JSON.parse(value));
    step.gangAttempt = progress.gangAttempt;
    step.gangFailures = progress.gangFailures;
    progress.tasks.forEach((row, index) => {
      const task = step.tasks[index];
      if (!task) return;
      const [phase, attempt, failures, workerId, bornAt, checkpoint] = row;
      task.phase = PHASES[phase] ?? 'waiting';
      task.attempt = attempt;
      task.failures = failures;
      task.workerId = workerId;
      task.workerBornAt = bornAt;
      task.workerAddress = progress.addresses?.[workerId] ?? '';
      task.checkpoint = checkpoint;
      if (attempt > 0) step.submission.hasStarted = true;
    });
    step.doneCount = step.tasks.filter(task => task.phase === 'done').length;
  }
}

function addressesOf(step: StepState): Record<string, string> {
  const newest = new Map<string, TaskState>();
  for (const task of step.tasks) {
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

function encodeTask(task: TaskState): StepProgress['tasks'][number] {
  const isPlaced = task.phase === 'placed';
  return [
    PHASES.indexOf(task.phase),
    task.attempt,
    task.failures,
    isPlaced ? task.workerId : '',
    isPlaced ? task.workerBornAt : 0,
    task.checkpoint,
  ];
}
