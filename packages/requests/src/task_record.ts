import type {RequestState, TaskUpdate} from '@cardamomfield/peer-protocol';
import type {TaskConclusion} from '@cardamomfield/types';

type TaskState = RequestState['tasks'][number];

/** The owner that a task was sent to. */
interface OwnerReference {
  name: string;
  incarnation: string;
}

/** The coordinator's state of one task. */
export class TaskRecord {
  /** Number of the present attempt; 0 before the first. */
  attempt = 0;
  /** Absent while the present attempt has no known owner. */
  owner: OwnerReference | undefined;
  /** Latest update of the present attempt. */
  update: TaskUpdate | undefined;
  /** Whether a permit was granted: a non-idempotent task may have started. */
  isDispatchPermitted = false;
  /** Whether permits of the present attempt are refused from now on. */
  isDispatchRevoked = false;
  conclusion: TaskConclusion | undefined;
  /** State of an earlier attempt to continue from. */
  checkpoint: TaskState['checkpoint'];
  /**
   * Conclusion to use if no further attempt starts. Set once an attempt may
   * have run: from then on, the task must not be reported as not run.
   */
  earlier: TaskConclusion | undefined;
  /** Wall-clock instant after which an unanswered order has no effect. */
  orderNotAfter = 0;

  private constructor(readonly index: number) {}

  static create(index: number): TaskRecord {
    return new TaskRecord(index);
  }

  /** Restores a task from another coordinator's state. */
  static fromState(state: TaskState): TaskRecord {
    const record = new TaskRecord(state.index);
    record.attempt = state.attempt;
    record.owner = state.owner;
    record.update = state.update;
    record.isDispatchPermitted = state.isDispatchPermitted;
    record.checkpoint = state.checkpoint;
    record.earlier = state.earlier;
    record.conclusion = state.conclusion;
    record.orderNotAfter = state.orderNotAfter;
    return record;
  }

  /** Starts another attempt; updates of earlier attempts are now dropped. */
  startAttempt(): void {
    this.attempt += 1;
    this.owner = undefined;
    this.update = undefined;
    this.isDispatchPermitted = false;
    this.isDispatchRevoked = false;
  }

  /** Continues an attempt that another coordinator started. */
  resumeAttempt(attempt: number): void {
    if (attempt !== this.attempt) this.update = undefined;
    this.attempt = attempt;
    this.owner = undefined;
  }

  /**
   * Applies an update. Returns false when it belongs to another attempt or the
   * attempt has already ended.
   */
  apply(update: TaskUpdate): boolean {
    if (this.conclusion || update.task.attempt !== this.attempt) return false;
    if (this.update && isFinal(this.update)) return false;
    this.update = update;
    return true;
  }

  /** Whether the present attempt has ended, with any outcome. */
  hasEnded(): boolean {
    return this.update !== undefined && isFinal(this.update);
  }

  /** Exports the complete state for another coordinator. */
  toState(): TaskState {
    const {index, attempt, owner, update, isDispatchPermitted} = this;
    const {checkpoint, earlier, conclusion, orderNotAfter} = this;
    return {
      index,
      attempt,
      isDispatchPermitted,
      orderNotAfter,
      ...(owner && {owner}),
      ...(update && {update}),
      ...(checkpoint !== undefined && {checkpoint}),
      ...(earlier && {earlier}),
      ...(conclusion && {conclusion}),
    };
  }

  /** Stage of the task as shown to callers and operators. */
  stage(): string {
    if (this.conclusion) return this.conclusion.kind;
    if (this.update) return this.update.stage;
    return this.owner ? 'queued' : 'waiting';
  }
}

function isFinal(update: TaskUpdate): boolean {
  return update.stage !== 'running' && update.stage !== 'in-doubt';
}
