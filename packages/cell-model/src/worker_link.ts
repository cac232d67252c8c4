import type {TypedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';
import type {LookOrder} from './look_order.js';
import type {StartOrder} from './start_order.js';
import type {StartOutcome} from './start_outcome.js';
import type {WorkerReport} from './worker_report.js';

/** Orders to one life of one worker. Every call has a time limit of its own. */
export interface WorkerLink {
  start(order: StartOrder): Promise<StartOutcome>;

  /**
   * Ends a run. Once it succeeds, a start of this attempt that is still on its
   * way is refused by the worker.
   */
  stop(
    taskName: string,
    attempt: number,
    fence: number,
  ): Promise<Either<TypedError, void>>;

  /** Lets a run work at a share of its speed, 0 to 100. */
  pace(
    taskName: string,
    attempt: number,
    percent: number,
    fence: number,
  ): Promise<Either<TypedError, void>>;

  /**
   * Fails with `RefusedError` when another life of the worker answered or the
   * fence is too low, and with `UncertainError` when nothing answered.
   */
  look(order: LookOrder): Promise<Either<TypedError, WorkerReport>>;

  close(): void;
}
