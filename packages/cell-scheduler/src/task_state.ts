import type {Run} from './run.js';

/** One task of a step and the state of its runs. */
export class TaskState {
  phase: 'waiting' | 'placed' | 'done' = 'waiting';
  /** Number of the last attempt; attempts count from 1. */
  attempt = 0;
  /** Number of failed runs. */
  failures = 0;
  checkpoint = '';
  run: Run | undefined;
  /** Worker of the placed run, also while that worker is not connected. */
  workerId = '';
  workerBornAt = 0;
  /** Address of that incarnation; empty when not known. */
  workerAddress = '';
  /**
   * Whether the placed run was started by an order without an unanswered copy,
   * under ordinary leases only. Kept for lasting tasks.
   */
  isStartConfirmed = false;
  /** Worker of the last failed run. */
  lastFailedWorkerId = '';
  /** Monotonic deadline before which the task is not placed again. */
  notBefore = 0;

  private constructor(
    readonly name: string,
    readonly index: number,
  ) {}

  static create(name: string, index: number): TaskState {
    return new TaskState(name, index);
  }
}
