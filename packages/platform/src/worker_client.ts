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
  /**
   * Incarnation and sequence of the last snapshot. If absent, the worker
   * responds immediately.
   */
  after?: {incarnation: string; sequence: number};
  /** Monotonic instant until which the worker may delay the response. */
  waitUntil?: number;
  /** Monotonic instant after which the call fails. */
  deadline: number;
}

/** Controls the tasks of one worker. Deadlines are monotonic instants. */
export interface WorkerClient {
  /**
   * Starts a task. `RefusedError` and `UnavailableError` guarantee that it did
   * not start; after `UncertainError` it may have started.
   */
  start(
    start: TaskStart,
    deadline: number,
  ): Promise<Either<RefusedError | UnavailableError | UncertainError, void>>;

  /** Stops a task; on success it no longer runs. Idempotent. */
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
   * Returns the worker's tasks once something has changed after the given
   * sequence or the wait is over. With `after` set, only changed tasks are
   * listed; if the incarnation differs, all tasks are listed.
   */
  watch(
    options: WatchOptions,
  ): Promise<Either<UnavailableError, WorkerSnapshot>>;
}
