import type {SubmissionState} from '@cardamomfield/cell-model';
import type {EndedSubmission} from './ended_submission.js';
import {RecordCodec} from './record_codec.js';
import type {StepState} from './step_state.js';
import type {SubmissionRecord} from './submission_record.js';
import type {WorkerState} from './worker_state.js';

/** State of a shard that its owner keeps in memory. */
export class ShardState {
  /** Submissions that still have tasks to run. */
  readonly submissions = new Map<string, SubmissionRecord>();
  /** Ended submissions, ordered by the time at which they ended. */
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

  /** Drops a submission and keeps only how and when it ended. */
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

  /** Unfinished steps that are due and whose dependencies are done. */
  *readySteps(nowUnixMilliseconds: number): Iterable<StepState> {
    for (const submission of this.submissions.values()) {
      // A submission that is not durable yet is included: run intents follow it
      // in the log, and start orders are sent only after their intents.
      if (submission.ending) continue;
      for (
        let occurrence = 0;
        occurrence < submission.occurrenceCount;
        occurrence++
      ) {
        if (submission.dueAt(occurrence) > nowUnixMilliseconds) break;
        yield* readyStepsOf(submission.stepsOf(occurrence));
      }
    }
  }

  /** Steps that wait only for steps whose tasks are all placed or done. */
  *upcomingSteps(nowUnixMilliseconds: number): Iterable<StepState> {
    for (const submission of this.submissions.values()) {
      if (submission.ending) continue;
      for (
        let occurrence = 0;
        occurrence < submission.occurrenceCount;
        occurrence++
      ) {
        if (submission.dueAt(occurrence) > nowUnixMilliseconds) break;
        yield* upcomingStepsOf(submission.stepsOf(occurrence));
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

  /** Number of accepted submissions of a queue with no task started yet. */
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
   * Rebuilds submissions from durable records. Returns the keys of records that
   * could not be read, which remain in the log, and of obsolete records, whose
   * submissions have ended.
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
    const entries = [...this.ended].sort(
      ([, a], [, b]) => a.endedAtUnixMilliseconds - b.endedAtUnixMilliseconds,
    );
    this.ended.clear();
    for (const [id, ended] of entries) this.ended.set(id, ended);
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
      // The caller logs the key and leaves the record unchanged.
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
    const unfinished = step.specification.dependsOn.filter(
      index => !steps[index]?.isDone,
    );
    if (
      unfinished.length > 0 &&
      unfinished.every(index => steps[index]?.isUnderWay)
    ) {
      yield step;
    }
  }
}
