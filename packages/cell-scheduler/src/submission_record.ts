import type {Queue, SubmissionSpecification} from '@cardamomfield/cell-model';
import type {EndedSubmission} from './ended_submission.js';
import {estimateMemoryBytes} from './estimate_memory_bytes.js';
import {isLargeSubmission} from './is_large_submission.js';
import {StepState} from './step_state.js';
import {SubmissionObjective} from './submission_objective.js';

/** One accepted submission and the progress of its steps. */
export class SubmissionRecord {
  /** Steps by occurrence; an occurrence is created when it is due. */
  readonly occurrences: StepState[][] = [];
  ending: EndedSubmission['ending'] | undefined;
  hasStarted = false;
  /** True once the record is durable, so that it is visible to callers. */
  isAccepted = false;
  /** True if the progress of its steps is recorded in ranges of tasks. */
  readonly isLarge: boolean;
  /** Estimated heap that the submission takes. */
  readonly memoryBytes: number;
  readonly objective: SubmissionObjective;

  private constructor(
    readonly id: string,
    readonly queue: Queue,
    readonly specification: SubmissionSpecification,
    readonly acceptedAtUnixMilliseconds: number,
    /**
     * Memory for submissions of the owner that accepted it, in bytes. Undefined
     * if an earlier version accepted it.
     */
    readonly acceptedWithinBytes: number | undefined,
    /** Empty when it belongs to no team. */
    readonly team: string,
  ) {
    this.isLarge = isLargeSubmission(specification);
    this.memoryBytes = estimateMemoryBytes(specification);
    this.objective = SubmissionObjective.create(queue, specification);
  }

  static create(
    id: string,
    queue: Queue,
    specification: SubmissionSpecification,
    acceptedAtUnixMilliseconds: number,
    acceptedWithinBytes?: number,
    team = '',
  ): SubmissionRecord {
    return new SubmissionRecord(
      id,
      queue,
      specification,
      acceptedAtUnixMilliseconds,
      acceptedWithinBytes,
      team,
    );
  }

  get occurrenceCount(): number {
    return Math.max(1, this.specification.occurrenceCount);
  }

  /** Due time of an occurrence in Unix milliseconds; 0 when untimed. */
  dueAt(occurrence: number): number {
    const {specification} = this;
    if (specification.occurrenceCount === 0) return 0;
    return (
      specification.firstOccurrenceAtUnixMilliseconds +
      occurrence * specification.occurrenceIntervalMilliseconds
    );
  }

  /** The steps of an occurrence, created on first use. */
  stepsOf(occurrence: number): StepState[] {
    for (let next = this.occurrences.length; next <= occurrence; next++) {
      const steps = this.specification.steps.map((step, index) =>
        StepState.create(this, next, index, step),
      );
      this.occurrences.push(steps);
    }
    return this.occurrences[occurrence] ?? [];
  }

  get areAllTasksDone(): boolean {
    return (
      this.occurrences.length === this.occurrenceCount &&
      this.occurrences.every(steps => steps.every(step => step.isDone))
    );
  }
}
