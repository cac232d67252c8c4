import type {SubmissionState} from '@cardamomfield/cell-model';
import type {EndedSubmission} from './ended_submission.js';
import {RecordCodec} from './record_codec.js';
import type {StepState} from './step_state.js';
import type {RecordName} from './record_name.js';
import type {RestoredKeys} from './restored_keys.js';
import type {SubmissionLimits} from './submission_limits.js';
import {SubmissionMemory} from './submission_memory.js';
import type {SubmissionRecord} from './submission_record.js';
import {TeamUsage} from './team_usage.js';
import type {WorkerState} from './worker_state.js';

/**
 * Estimated heap that an ending takes: 200 bytes here, and up to 300 as a record
 * that the next owner reads.
 */
const ENDING_BYTES = 500;

/** State of a shard that its owner keeps in memory. */
export class ShardState {
  /** Submissions that still have tasks to run. */
  readonly submissions = new Map<string, SubmissionRecord>();
  /** Ended submissions, ordered by the time at which they ended. */
  readonly ended = new Map<string, EndedSubmission>();
  /** Newest endings that are not durable yet, by submission. */
  private readonly pendingEndings = new Map<string, EndedSubmission>();
  /** The record in the log that this version cannot read, by submission. */
  readonly unreadable = new Map<string, 'submission' | 'ending'>();
  readonly workers = new Map<string, WorkerState>();
  readonly teamUsage = TeamUsage.create();
  /** Heap that all submissions take, also those that have ended. */
  readonly memory = SubmissionMemory.create();
  /** Number of IDs that were cancelled without a submission. */
  private unsubmitted = 0;

  private constructor() {}

  static create(): ShardState {
    return new ShardState();
  }

  /** Number of IDs that were cancelled before a submission was accepted. */
  get unsubmittedCount(): number {
    return this.unsubmitted;
  }

  add(submission: SubmissionRecord): void {
    this.submissions.set(submission.id, submission);
    this.memory.add(memoryUseOf(submission));
  }

  remove(submission: SubmissionRecord): void {
    if (!this.submissions.delete(submission.id)) return;
    this.memory.remove(memoryUseOf(submission));
  }

  /** Drops a submission and keeps only how and when it ended, not yet durably. */
  close(
    submission: SubmissionRecord,
    ending: EndedSubmission['ending'],
    nowUnixMilliseconds: number,
  ): EndedSubmission {
    submission.ending = ending;
    this.remove(submission);
    const ended: EndedSubmission = {
      ending,
      endedAtUnixMilliseconds: nowUnixMilliseconds,
      team: submission.team || undefined,
    };
    this.setEnded(submission.id, ended);
    return ended;
  }

  /**
   * Stores how a submission ended, or that its ID was cancelled. Callers see it
   * once `confirmEnded` is called with it.
   */
  setEnded(id: string, ended: EndedSubmission): void {
    this.evictEnded(id);
    this.ended.set(id, ended);
    this.pendingEndings.set(id, ended);
    this.memory.add({team: ended.team ?? '', bytes: ENDING_BYTES});
    if (ended.isUnsubmitted) this.unsubmitted++;
  }

  /** Marks an ending as durable, unless a newer one has replaced it. */
  confirmEnded(id: string, ended: EndedSubmission): void {
    if (this.pendingEndings.get(id) === ended) this.pendingEndings.delete(id);
  }

  evictEnded(id: string): void {
    const ended = this.ended.get(id);
    if (!ended) return;
    if (ended.isUnsubmitted) this.unsubmitted--;
    this.memory.remove({team: ended.team ?? '', bytes: ENDING_BYTES});
    this.ended.delete(id);
    this.pendingEndings.delete(id);
  }

  /** Whether a submission has ended and its ending is not durable yet. */
  isEndingPending(id: string): boolean {
    const pending = this.pendingEndings.get(id);
    return pending !== undefined && !pending.isUnsubmitted;
  }

  /** How a submission ended, once that is durable. */
  durableEnding(id: string): EndedSubmission['ending'] | undefined {
    const ended = this.ended.get(id);
    if (!ended || ended.isUnsubmitted || this.isEndingPending(id)) return;
    return ended.ending;
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

  /**
   * The state in memory; undefined for an unknown submission. Callers see an
   * ending only once it is durable.
   */
  describe(id: string): SubmissionState | undefined {
    const ended = this.ended.get(id);
    if (ended?.isUnsubmitted) return undefined;
    if (ended) return ended.ending;
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
   * Rebuilds submissions from durable records and removes these from the map, so
   * that no more than one of them is held beside its state.
   */
  restore(
    records: Map<string, string>,
    limits: SubmissionLimits,
  ): RestoredKeys {
    const restored: RestoredKeys = {
      unreadable: [],
      obsolete: [],
      oversized: [],
      outdated: [],
    };
    for (const prefix of RecordCodec.prefixes) {
      for (const [key, value] of records) {
        if (!key.startsWith(prefix)) continue;
        this.restoreRecord(key, value, limits, restored);
        records.delete(key);
      }
    }
    for (const submission of this.submissions.values()) {
      submission.isAccepted = true;
      for (const step of submission.occurrences.flat()) step.reconcileGang();
    }
    this.sortEnded();
    return restored;
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
    limits: SubmissionLimits,
    restored: RestoredKeys,
  ): void {
    try {
      const name = RecordCodec.parseKey(key);
      if (!name) return;
      const {kind, id} = name;
      // The records of such a submission are left to a version that reads them.
      if (this.unreadable.has(id)) return;
      if (kind === 'ending') {
        const ended = RecordCodec.decodeEnding(value);
        this.setEnded(id, ended);
        this.confirmEnded(id, ended);
      } else if (this.ended.has(id)) {
        restored.obsolete.push(key);
      } else if (kind === 'submission') {
        this.restoreSubmission(id, value, limits, restored);
      } else {
        const isApplied = this.restoreProgress(name, value, restored);
        if (!isApplied) restored.obsolete.push(key);
      }
    } catch {
      // The caller logs the key and leaves the record unchanged.
      restored.unreadable.push(key);
      const name = RecordCodec.parseKey(key);
      if (name?.kind === 'ending' || name?.kind === 'submission') {
        this.unreadable.set(name.id, name.kind);
      }
    }
  }

  private restoreSubmission(
    id: string,
    value: string,
    limits: SubmissionLimits,
    restored: RestoredKeys,
  ): void {
    const submission = RecordCodec.decodeSubmission(id, value);
    // A host with more memory may have accepted it within a limit of its own.
    if (
      submission.acceptedWithinBytes === undefined &&
      limits.check(submission.queue, submission.specification).isLeft()
    ) {
      restored.oversized.push(id);
      return;
    }
    this.add(submission);
    if (submission.isLarge && RecordCodec.hasSmallForm(value)) {
      restored.outdated.push(id);
    }
  }

  /** Returns false if the record does not hold the progress of a step. */
  private restoreProgress(
    {kind, id, occurrence, step: index, range}: RecordName,
    value: string,
    {outdated}: RestoredKeys,
  ): boolean {
    const submission = this.submissions.get(id);
    if (!submission) return false;
    // An earlier version wrote the progress of whole steps together with a
    // submission of the small form; ranges then stem from before.
    const hasRanges = submission.isLarge && !outdated.includes(id);
    if ((kind === 'range') !== hasRanges) return false;
    const step = submission.stepsOf(occurrence)[index];
    if (!step) throw new RangeError(`step ${index} does not exist`);
    RecordCodec.applyProgress(step, value, RecordCodec.firstTaskOf(range));
    return true;
  }
}

function memoryUseOf({team, memoryBytes}: SubmissionRecord) {
  return {team, bytes: memoryBytes};
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
