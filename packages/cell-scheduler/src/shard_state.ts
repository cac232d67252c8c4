import type {SubmissionState} from '@cardamomfield/cell-model';
import type {EndedSubmission} from './ended_submission.js';
import {RecordCodec} from './record_codec.js';
import type {StepState} from './step_state.js';
import type {SubmissionRecord} from './submission_record.js';
import type {WorkerState} from './worker_state.js';

/** Everything the owner of a shard knows. */
export class ShardState {
  /** Submissions that still have tasks to run. */
  readonly submissions = new Map<string, SubmissionRecord>();
  /** What is kept of ended submissions, in the order of their ends. */
  readonly ended = new Map<string, EndedSubmission>();
  /** Completed submissions whose ending is not durable yet. */
  readonly completing = new Set<string>();
  readonly workers = new Map<string, WorkerState>();

  private constructor() {}

  static create(): ShardState {
    return new ShardState();
  }

  add(submission: SubmissionRecord): void {
    this.submissions.set(submission.id, submission);
  }

  remove(submission: SubmissionRecord): void {
    this.submissions.delete(submission.id);
  }

  /** Keeps only how a submission ended. */
  close(
    submission: SubmissionRecord,
    ending: EndedSubmission['ending'],
    nowUnixMilliseconds: number,
  ): void {
    submission.ending = ending;
    this.submissions.delete(submission.id);
    this.ended.set(submission.id, {
      ending,
      endedAtUnixMilliseconds: nowUnixMilliseconds,
    });
  }

  /** Steps whose dependencies are done and whose time has come. */
  *readySteps(nowUnixMilliseconds: number): Iterable<StepState> {
    for (const submission of this.submissions.values()) {
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
    for (const submission of this.submissions.values()) {
      if (submission.ending) continue;
      for (let k = 0; k < submission.occurrenceCount; k++) {
        if (submission.dueAt(k) > nowUnixMilliseconds) break;
        yield* upcomingStepsOf(submission.stepsOf(k));
      }
    }
  }

  /** The state that callers see; undefined for an unknown submission. */
  describe(id: string): SubmissionState | undefined {
    const ended = this.ended.get(id);
    if (ended) return this.completing.has(id) ? 'running' : ended.ending;
    const submission = this.submissions.get(id);
    if (!submission?.isAccepted) return undefined;
    return submission.hasStarted ? 'running' : 'queued';
  }

  /** Accepted submissions of a queue of which no task has started. */
  countPending(queueName: string): number {
    let count = 0;
    for (const submission of this.submissions.values()) {
      if (submission.queue.name !== queueName) continue;
      if (submission.ending || submission.hasStarted) continue;
      if (submission.isAccepted) count++;
    }
    return count;
  }

  /**
   * Rebuilds submissions from durable records. Returns the keys whose values
   * could not be read, which are left alone, and those of submissions that
   * have ended, which are not needed any more.
   */
  restore(records: ReadonlyMap<string, string>): {
    unreadable: string[];
    obsolete: string[];
  } {
    const unreadable: string[] = [];
    const obsolete: string[] = [];
    for (const prefix of ['e/', 's/', 'p/']) {
      for (const [key, value] of records) {
        if (!key.startsWith(prefix)) continue;
        const outcome = this.restoreRecord(key, value);
        if (outcome === 'unreadable') unreadable.push(key);
        if (outcome === 'obsolete') obsolete.push(key);
      }
    }
    for (const submission of this.submissions.values()) {
      submission.isAccepted = true;
    }
    this.sortEnded();
    return {unreadable, obsolete};
  }

  private sortEnded(): void {
    const rows = [...this.ended].sort(
      ([, a], [, b]) => a.endedAtUnixMilliseconds - b.endedAtUnixMilliseconds,
    );
    this.ended.clear();
    for (const [id, ended] of rows) this.ended.set(id, ended);
  }

  private restoreRecord(
    key: string,
    value: string,
  ): 'restored' | 'unreadable' | 'obsolete' {
    try {
      const name = key.slice(2);
      const [id = '', occurrence, index] = name.split('.');
      if (key.startsWith('e/')) {
        this.ended.set(id, RecordCodec.decodeEnding(value));
        return 'restored';
      }
      if (this.ended.has(id)) return 'obsolete';
      if (key.startsWith('s/')) {
        this.add(RecordCodec.decodeSubmission(id, value));
        return 'restored';
      }
      const submission = this.submissions.get(id);
      if (!submission) return 'obsolete';
      const step = submission.stepsOf(Number(occurrence))[Number(index)];
      if (!step) return 'unreadable';
      RecordCodec.applyProgress(step, value);
      return 'restored';
    } catch {
      // The caller logs the key and leaves the record alone.
      return 'unreadable';
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
