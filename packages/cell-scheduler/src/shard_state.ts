import type {SubmissionState} from '@cardamomfield/cell-model';
import {RecordCodec} from './record_codec.js';
import type {StepState} from './step_state.js';
import type {SubmissionRecord} from './submission_record.js';
import type {WorkerState} from './worker_state.js';

/** Everything the owner of a shard knows. */
export class ShardState {
  readonly submissions = new Map<string, SubmissionRecord>();
  readonly workers = new Map<string, WorkerState>();
  /** Submissions that still have tasks to run. */
  private readonly open = new Set<SubmissionRecord>();

  private constructor() {}

  static create(): ShardState {
    return new ShardState();
  }

  add(submission: SubmissionRecord): void {
    this.submissions.set(submission.id, submission);
    this.open.add(submission);
  }

  remove(submission: SubmissionRecord): void {
    this.submissions.delete(submission.id);
    this.open.delete(submission);
  }

  /** Takes a submission off the list of those with work left. */
  close(submission: SubmissionRecord, nowUnixMilliseconds: number): void {
    submission.endedAtUnixMilliseconds ??= nowUnixMilliseconds;
    this.open.delete(submission);
  }

  openSubmissions(): Iterable<SubmissionRecord> {
    return this.open;
  }

  /** Steps whose dependencies are done and whose time has come. */
  *readySteps(nowUnixMilliseconds: number): Iterable<StepState> {
    for (const submission of this.open) {
      // Also before it is durable: intents follow it in the log, and orders
      // follow their intents.
      if (submission.ending) continue;
      for (let k = 0; k < submission.occurrenceCount; k++) {
        if (submission.dueAt(k) > nowUnixMilliseconds) break;
        yield* readyStepsOf(submission.stepsOf(k));
      }
    }
  }

  /** Steps that wait only for steps whose tasks all run or are done. */
  *upcomingSteps(nowUnixMilliseconds: number): Iterable<StepState> {
    for (const submission of this.open) {
      if (submission.ending) continue;
      for (let k = 0; k < submission.occurrenceCount; k++) {
        if (submission.dueAt(k) > nowUnixMilliseconds) break;
        yield* upcomingStepsOf(submission.stepsOf(k));
      }
    }
  }

  /** The state that callers see. */
  describe(submission: SubmissionRecord): SubmissionState {
    if (submission.ending) return submission.ending;
    if (submission.isCompletionDurable) return 'completed';
    return submission.hasStarted ? 'running' : 'queued';
  }

  /** Accepted submissions of a queue of which no task has started. */
  countPending(queueName: string): number {
    let count = 0;
    for (const submission of this.open) {
      if (submission.queue.name !== queueName) continue;
      if (submission.ending || submission.hasStarted) continue;
      if (submission.isAccepted) count++;
    }
    return count;
  }

  /**
   * Rebuilds submissions from durable records. Returns the keys whose values
   * could not be read; those records are left alone.
   */
  restore(records: ReadonlyMap<string, string>): string[] {
    const unreadable: string[] = [];
    for (const prefix of ['s/', 'e/', 'p/']) {
      for (const [key, value] of records) {
        if (!key.startsWith(prefix)) continue;
        if (!this.restoreRecord(key, value)) unreadable.push(key);
      }
    }
    for (const submission of this.submissions.values()) {
      submission.isAccepted = true;
      if (submission.areAllTasksDone) submission.isCompletionDurable = true;
      if (submission.ending || submission.areAllTasksDone) {
        this.open.delete(submission);
      }
    }
    return unreadable;
  }

  private restoreRecord(key: string, value: string): boolean {
    try {
      const name = key.slice(2);
      if (key.startsWith('s/')) {
        this.add(RecordCodec.decodeSubmission(name, value));
        return true;
      }
      const [id, occurrence, index] = name.split('.');
      const submission = this.submissions.get(id ?? '');
      if (!submission) return true;
      if (key.startsWith('e/')) {
        RecordCodec.applyEnding(submission, value);
        return true;
      }
      const step = submission.stepsOf(Number(occurrence))[Number(index)];
      if (!step) return false;
      RecordCodec.applyProgress(step, value);
      return true;
    } catch {
      return false;
    }
  }
}

function* readyStepsOf(steps: StepState[]): Iterable<StepState> {
  for (const step of steps) {
    if (step.isDone) continue;
    const {dependsOn} = step.specification;
    if (dependsOn.every(index => steps[index]?.isDone)) yield step;
  }
}

function* upcomingStepsOf(steps: StepState[]): Iterable<StepState> {
  for (const step of steps) {
    const open = step.specification.dependsOn.filter(
      index => !steps[index]?.isDone,
    );
    if (open.length > 0 && open.every(index => steps[index]?.isUnderWay)) {
      yield step;
    }
  }
}
