import type {TypedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';
import type {PollOrder} from './poll_order.js';
import type {StartOrder} from './start_order.js';
import type {StartOutcome} from './start_outcome.js';
import type {WorkerReport} from './worker_report.js';

/**
 * Sends orders to one incarnation of one worker. Every call has its own time
 * limit. A call that has not left by then, for example because this process was
 * paused, is never sent.
 */
export interface WorkerLink {
  start(order: StartOrder): Promise<StartOutcome>;

  /**
   * Ends a run. Once this succeeds, the worker refuses a start of this attempt
   * that is still in flight.
   */
  stop(
    taskName: string,
    attempt: number,
    fence: number,
  ): Promise<Either<TypedError, void>>;

  /** Limits a run to a percentage of its full speed, 0 to 100. */
  pace(
    taskName: string,
    attempt: number,
    percent: number,
    fence: number,
  ): Promise<Either<TypedError, void>>;

  /**
   * Polls the worker. Fails with `RefusedError` when another incarnation of the
   * worker answered or the fencing token is too low, and with `UncertainError`
   * when nothing answered.
   */
  poll(order: PollOrder): Promise<Either<TypedError, WorkerReport>>;

  close(): void;
}
