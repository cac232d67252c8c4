import type {
  NotFoundError,
  RefusedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import type {TaskIdentity} from '@cardamomfield/types';
import type {Either} from 'purify-ts';
import type {LeaseRenewal} from './lease_renewal.js';
import type {TaskStart} from './task_start.js';
import type {WorkerSnapshot} from './worker_snapshot.js';

interface WatchOptions {
  /** Incarnation and sequence of the last snapshot; absent: answer at once. */
  after?: {incarnation: string; sequence: number};
  /** Monotonic instant until which the worker may hold the call back. */
  waitUntil?: number;
  /** Monotonic instant after which the call fails. */
  deadline: number;
}

/** Control of the tasks of one worker. Deadlines are monotonic instants. */
export interface WorkerClient {
  /**
   * Starts a task. `RefusedError` proves that it did not start, and so does
   * `UnavailableError`; after `UncertainError` it may have.
   */
  start(
    start: TaskStart,
    deadline: number,
  ): Promise<Either<RefusedError | UnavailableError | UncertainError, void>>;

  /** Stops a task; success means that it no longer runs. Idempotent. */
  stop(
    task: TaskIdentity,
    deadline: number,
  ): Promise<Either<UnavailableError | UncertainError, void>>;

  /** Saves the state of a running task and returns it. */
  checkpoint(
    task: TaskIdentity,
    deadline: number,
  ): Promise<
    Either<NotFoundError | UnavailableError | UncertainError, unknown>
  >;

  /** Limits a task's processor use to thousandths of a processor. */
  throttle(
    task: TaskIdentity,
    processorMillicores: number,
    deadline: number,
  ): Promise<Either<NotFoundError | UnavailableError | UncertainError, void>>;

  /** Renews many leases; returns the tasks that no longer run. */
  renewLeases(
    renewals: readonly LeaseRenewal[],
    deadline: number,
  ): Promise<Either<UnavailableError | UncertainError, TaskIdentity[]>>;

  /**
   * The worker's tasks, once something has changed after the given sequence
   * or the wait is over. With `after` set, only changed tasks are listed,
   * unless the incarnation is another: then all are.
   */
  watch(
    options: WatchOptions,
  ): Promise<Either<UnavailableError, WorkerSnapshot>>;
}
