import {type Clock, Notifier} from '@cardamomfield/clock';
import type {RequestState, RequestView} from '@cardamomfield/peer-protocol';
import type {FinalAnswer, Submission} from '@cardamomfield/types';
import {TaskRecord} from './task_record.js';

interface RequestRecordOptions {
  submission: Submission;
  bodyHash: string;
  coordinator: string;
  clock: Clock;
}

/** The coordinator's state of one request. */
export class RequestRecord {
  readonly tasks: TaskRecord[];
  readonly submission: Submission;
  readonly bodyHash: string;
  /** Set once the caller or an operator has asked to stop the request. */
  isCancelled = false;
  answer: FinalAnswer | undefined;
  /** Set once another coordinator continues the request. */
  isHandedOver = false;
  /** Set when this request was adopted from another coordinator. */
  isAdopted = false;
  /** Wall-clock instant after which the record may be dropped. */
  expiresAt: number | undefined;

  private revision = 0;
  private readonly coordinator: string;
  private readonly notifier: Notifier;

  private constructor(options: RequestRecordOptions, tasks: TaskRecord[]) {
    this.submission = options.submission;
    this.bodyHash = options.bodyHash;
    this.coordinator = options.coordinator;
    this.notifier = Notifier.create(options.clock);
    this.tasks = tasks;
  }

  static create(options: RequestRecordOptions): RequestRecord {
    const tasks = Array.from(
      {length: options.submission.taskCount},
      (_, index) => TaskRecord.create(index),
    );
    return new RequestRecord(options, tasks);
  }

  /** Restores a request from another coordinator's state. */
  static fromState(
    state: RequestState,
    context: {coordinator: string; clock: Clock},
  ): RequestRecord {
    const {submission, bodyHash, isCancelled, tasks} = state;
    const record = new RequestRecord(
      {submission, bodyHash, ...context},
      tasks.map(task => TaskRecord.fromState(task)),
    );
    record.isCancelled = isCancelled;
    record.isAdopted = true;
    return record;
  }

  get key(): string {
    return this.submission.key;
  }

  /** Increments the revision and wakes all waiters. */
  notifyChange(): void {
    this.revision += 1;
    this.notifier.notify();
  }

  /** Resolves at the next change or at the monotonic deadline. */
  waitForChange(deadline?: number): Promise<void> {
    return this.notifier.wait(deadline);
  }

  /** Exports the complete state for another coordinator. */
  toState(): RequestState {
    const {submission, bodyHash, isCancelled, tasks} = this;
    return {
      submission,
      bodyHash,
      isCancelled,
      tasks: tasks.map(task => task.toState()),
    };
  }

  /** The state as shown to callers. */
  view(): RequestView {
    return {
      key: this.key,
      phase: this.phase(),
      coordinator: this.coordinator,
      revision: this.revision,
      tasks: this.tasks.map(task => ({
        index: task.index,
        attempt: task.attempt,
        stage: task.stage(),
        ...(task.update && 'worker' in task.update
          ? {worker: task.update.worker}
          : {}),
      })),
      ...(this.answer ? {answer: this.answer} : {}),
    };
  }

  private phase(): RequestView['phase'] {
    if (this.answer) return 'finished';
    const isRunning = this.tasks.some(task => task.update !== undefined);
    return isRunning ? 'running' : 'waiting';
  }
}
