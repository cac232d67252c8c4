import {type Clock, Notifier} from '@cardamomfield/clock';
import type {RequestView} from '@cardamomfield/peer-protocol';
import type {FinalAnswer, Submission} from '@cardamomfield/types';
import {TaskRecord} from './task_record.js';

interface RequestRecordOptions {
  submission: Submission;
  bodyHash: string;
  coordinator: string;
  clock: Clock;
}

/** One request and all that its coordinator knows of it. */
export class RequestRecord {
  readonly tasks: TaskRecord[] = [];
  readonly submission: Submission;
  readonly bodyHash: string;
  /** Set once the caller or an operator has asked to stop the request. */
  isCancelled = false;
  answer: FinalAnswer | undefined;
  /** Wall-clock instant after which the record may be dropped. */
  expiresAt: number | undefined;

  private revision = 0;
  private readonly coordinator: string;
  private readonly notifier: Notifier;

  private constructor(options: RequestRecordOptions) {
    this.submission = options.submission;
    this.bodyHash = options.bodyHash;
    this.coordinator = options.coordinator;
    this.notifier = Notifier.create(options.clock);
    for (let index = 0; index < this.submission.taskCount; index += 1) {
      this.tasks.push(TaskRecord.create(index));
    }
  }

  static create(options: RequestRecordOptions): RequestRecord {
    return new RequestRecord(options);
  }

  get key(): string {
    return this.submission.key;
  }

  /** Announces a change to everyone who waits for one. */
  changed(): void {
    this.revision += 1;
    this.notifier.notify();
  }

  /** Resolves at the next change or at the monotonic deadline. */
  waitForChange(deadline?: number): Promise<void> {
    return this.notifier.wait(deadline);
  }

  /** The state as callers see it. */
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
