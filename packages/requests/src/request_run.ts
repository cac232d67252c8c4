import type {TypedError} from '@cardamomfield/errors';
import {UncertainError} from '@cardamomfield/errors';
import type {FinalAnswer, TaskConclusion} from '@cardamomfield/types';
import {assembleAnswer} from './assemble_answer.js';
import type {IntentJournal} from './intent_journal.js';
import type {RequestRecord} from './request_record.js';
import type {TaskRecord} from './task_record.js';

interface RequestRunOptions {
  self: string;
  incarnation: string;
  journal: IntentJournal;
  /** Runs one task until it has a conclusion. */
  runTask: (
    record: RequestRecord,
    task: TaskRecord,
  ) => Promise<TaskConclusion | undefined>;
}

/** Runs one request from its acceptance to its final answer. */
export class RequestRun {
  private constructor(
    private readonly record: RequestRecord,
    private readonly options: RequestRunOptions,
  ) {}

  static create(record: RequestRecord, options: RequestRunOptions): RequestRun {
    return new RequestRun(record, options);
  }

  /** Runs until the record has its answer or is handed over. */
  async run(): Promise<void> {
    const refusal = await this.recordIntent();
    const answer = refusal ?? (await this.runTasks());
    if (!answer) return;
    this.record.answer = answer;
    this.record.notifyChange();
    if (!refusal) await this.recordOutcome(answer);
  }

  /** Records a non-idempotent request on the log before any task starts. */
  private async recordIntent(): Promise<FinalAnswer | undefined> {
    const {submission, bodyHash, key} = this.record;
    if (submission.idempotent || this.record.isAdopted) return undefined;
    const {journal, self, incarnation} = this.options;
    const {deadline} = submission;
    const intent = {key, bodyHash, coordinator: self, incarnation, deadline};
    const recorded = await journal.recordIntent(intent);
    return recorded.caseOf({
      Left: error => this.notRunAnswer(error),
      Right: first => {
        const isOwn =
          first.coordinator === self && first.incarnation === incarnation;
        if (first.answer) return first.answer;
        return isOwn ? undefined : this.earlierIntentAnswer();
      },
    });
  }

  /**
   * The request did not run, even when the answer of the append was lost:
   * without a confirmed intent this process starts no task, and no other
   * process starts a task for this process's intent.
   */
  private notRunAnswer(error: TypedError): FinalAnswer {
    const isUncertain = error instanceof UncertainError;
    const message = isUncertain
      ? 'the intent could not be confirmed on the log; nothing was started'
      : error.message;
    return {
      outcome: 'not-run',
      key: this.record.key,
      reason: {code: error.code, message},
    };
  }

  private earlierIntentAnswer(): FinalAnswer {
    return {
      outcome: 'unknown',
      key: this.record.key,
      reason: {
        code: 'uncertain',
        message: 'an earlier submission of this key has no recorded outcome',
      },
    };
  }

  private async runTasks(): Promise<FinalAnswer | undefined> {
    const conclusions = await Promise.all(
      this.record.tasks.map(task => this.runTask(task)),
    );
    if (this.record.isHandedOver) return undefined;
    const present = conclusions.filter(each => each !== undefined);
    return assembleAnswer(this.record.key, present);
  }

  private async runTask(task: TaskRecord): Promise<TaskConclusion | undefined> {
    const conclusion = await this.options.runTask(this.record, task);
    if (!conclusion) return undefined;
    task.conclusion = conclusion;
    this.record.notifyChange();
    return conclusion;
  }

  private async recordOutcome(answer: FinalAnswer): Promise<void> {
    if (this.record.submission.idempotent) return;
    await this.options.journal.recordOutcome(this.record.key, answer);
  }
}
