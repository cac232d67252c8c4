import type {Run} from './run.js';

/** One task of a step and what is known of its runs. */
export class TaskState {
  phase: 'waiting' | 'placed' | 'done' = 'waiting';
  /** Number of the last attempt; attempts count from 1. */
  attempt = 0;
  /** Runs that ended as failed. */
  failures = 0;
  checkpoint = '';
  run: Run | undefined;
  /** Worker that holds the placed run, also while it is not connected. */
  workerId = '';
  workerBornAt = 0;
  /** Worker on which the last run failed. */
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
