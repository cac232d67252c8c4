import type {RequestState, TaskUpdate} from '@cardamomfield/peer-protocol';
import type {TaskConclusion} from '@cardamomfield/types';

type TaskState = RequestState['tasks'][number];

/** The owner that a task was sent to. */
interface OwnerReference {
  name: string;
  incarnation: string;
}

/** What the coordinator knows of one task. */
export class TaskRecord {
  /** Placements so far; 0 before the first. */
  attempt = 0;
  /** Absent while no owner has been asked in this attempt. */
  owner: OwnerReference | undefined;
  /** Latest news of the present attempt. */
  update: TaskUpdate | undefined;
  /** Whether the owner may have sent the start of a non-idempotent task. */
  isDispatchPermitted = false;
  /** Whether permits of the present attempt are refused from now on. */
  isDispatchRevoked = false;
  conclusion: TaskConclusion | undefined;
  /** State of an earlier attempt to continue from. */
  checkpoint: TaskState['checkpoint'];
  /**
   * What to conclude when no further attempt starts, once an attempt may have
   * run: from then on the task can no longer be called not run.
   */
  earlier: TaskConclusion | undefined;
  /** Wall-clock instant after which an unanswered order has no effect. */
  orderNotAfter = 0;

  private constructor(readonly index: number) {}

  static create(index: number): TaskRecord {
    return new TaskRecord(index);
  }

  /** A task as another coordinator left it. */
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

  /** Begins another attempt; news of earlier ones are dropped from now on. */
  startAttempt(): void {
    this.attempt += 1;
    this.owner = undefined;
    this.update = undefined;
    this.isDispatchPermitted = false;
    this.isDispatchRevoked = false;
  }

  /** Goes on with an attempt that another coordinator began. */
  resumeAttempt(attempt: number): void {
    if (attempt !== this.attempt) this.update = undefined;
    this.attempt = attempt;
    this.owner = undefined;
  }

  /** Takes news in; false when they are of another attempt or come too late. */
  apply(update: TaskUpdate): boolean {
    if (this.conclusion || update.task.attempt !== this.attempt) return false;
    if (this.update && isFinal(this.update)) return false;
    this.update = update;
    return true;
  }

  /** Whether the present attempt has ended, one way or another. */
  hasEnded(): boolean {
    return this.update !== undefined && isFinal(this.update);
  }

  /** All of it, for another coordinator. */
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

  /** One word for callers and operators. */
  stage(): string {
    if (this.conclusion) return this.conclusion.kind;
    if (this.update) return this.update.stage;
    return this.owner ? 'queued' : 'waiting';
  }
}

function isFinal(update: TaskUpdate): boolean {
  return update.stage !== 'running' && update.stage !== 'in-doubt';
}
