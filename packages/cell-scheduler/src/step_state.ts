import type {StepSpecification} from '@cardamomfield/cell-model';
import type {NearPlaceWait} from './near_place_wait.js';
import {StepAdvice} from './step_advice.js';
import type {SubmissionRecord} from './submission_record.js';
import {TaskState} from './task_state.js';
import type {WorkerState} from './worker_state.js';

/** One step of one occurrence of a submission. */
export class StepState {
  readonly tasks: TaskState[] = [];
  readonly advice = StepAdvice.create();
  doneCount = 0;
  /** Attempt number shared by the members of a gang. */
  gangAttempt = 0;
  /**
   * Monotonic deadline until which capacity freed by preemption is reserved for
   * the step.
   */
  reservedUntil = 0;
  /** Monotonic deadline before which preemption is not tried again. */
  preemptionRetryAt = 0;
  /** Monotonic deadline before which the step is skipped after an error. */
  setAsideUntil = 0;
  /** Undefined until it is decided whether the step waits for a near place. */
  nearPlaceWait: NearPlaceWait | undefined;
  /** Failed runs of a gang as a whole; a run counts once. */
  gangFailures = 0;
  /** Attempt number of the newest run that `gangFailures` includes. */
  lastFailedGangAttempt = 0;

  private constructor(
    readonly submission: SubmissionRecord,
    readonly occurrence: number,
    readonly index: number,
    readonly specification: StepSpecification,
    readonly name: string,
  ) {}

  static create(
    submission: SubmissionRecord,
    occurrence: number,
    index: number,
    specification: StepSpecification,
  ): StepState {
    const name = `${submission.id}.${occurrence}.${index}`;
    const step = new StepState(
      submission,
      occurrence,
      index,
      specification,
      name,
    );
    for (let task = 0; task < specification.taskCount; task++) {
      step.tasks.push(TaskState.create(`${name}.${task}`, task));
    }
    return step;
  }

  get isDone(): boolean {
    return this.doneCount === this.tasks.length;
  }

  /** True when every task is placed or done. */
  get isUnderWay(): boolean {
    return this.tasks.every(task => task.phase !== 'waiting');
  }

  /**
   * Makes the members of a gang alike. Their records may stem from different
   * appends, of which the last owner completed only the first.
   */
  reconcileGang(): void {
    if (!this.specification.isGang) return;
    const checkpoint = this.tasks.find(task => task.checkpoint !== '');
    for (const task of this.tasks) {
      if (this.doneCount > 0) task.phase = 'done';
      task.checkpoint = checkpoint?.checkpoint ?? '';
    }
    if (this.doneCount > 0) this.doneCount = this.tasks.length;
  }

  /**
   * Counts the failure of a gang's member. Several members of a run may fail,
   * also under different owners, and the run counts once. Returns whether the
   * run had not been counted before.
   */
  countGangFailure(attempt: number): boolean {
    if (attempt <= this.lastFailedGangAttempt) return false;
    this.lastFailedGangAttempt = attempt;
    this.gangFailures++;
    return true;
  }

  /** Number of tasks placed on the given worker. */
  countOn(worker: WorkerState): number {
    let count = 0;
    for (const run of worker.runs.values()) {
      if (run.step === this) count++;
    }
    return count;
  }

  /** Number of tasks placed on each worker, by worker ID. */
  countByWorker(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const {run} of this.tasks) {
      if (run) counts.set(run.workerId, (counts.get(run.workerId) ?? 0) + 1);
    }
    return counts;
  }
}
