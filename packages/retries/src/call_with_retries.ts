import type {Clock} from '@cardamomfield/clock';
import {DeadlineExceededError, type TypedError} from '@cardamomfield/errors';
import {type Either, Left} from 'purify-ts';
import type {Backoff} from './backoff.js';
import type {RetryBudget} from './retry_budget.js';

/** Codes of failures after which an idempotent call may be retried. */
const RETRYABLE_CODES: ReadonlySet<string> = new Set([
  'unavailable',
  'uncertain',
  'deadline-exceeded',
]);

interface RetryOptions<Result> {
  clock: Clock;
  budget: RetryBudget;
  backoff: Backoff;
  /** Monotonic instant after which no attempt is started. */
  deadline: number;
  /** Time limit of one attempt. Default: until the deadline. */
  attemptMilliseconds?: number;
  /** Makes one attempt, numbered from 1, within its own deadline. */
  attempt: (
    attempt: number,
    deadline: number,
  ) => Promise<Either<TypedError, Result>>;
  /**
   * Confirms that the given attempt no longer runs. Without confirmation
   * before the deadline no further attempt is made.
   */
  confirmStopped?: (attempt: number, deadline: number) => Promise<boolean>;
  signal?: AbortSignal;
}

/**
 * Makes an idempotent call and retries it after retryable failures, within its
 * deadline and the retry budget. Returns the outcome of the last attempt.
 */
export async function callWithRetries<Result>(
  options: RetryOptions<Result>,
): Promise<Either<TypedError, Result>> {
  const {clock, budget, deadline} = options;
  if (clock.monotonicNow() >= deadline) return Left(deadlinePassed());
  budget.recordRequest();
  for (let attempt = 1; ; attempt++) {
    const outcome = await options.attempt(attempt, attemptDeadline(options));
    if (!mayRetry(outcome)) return outcome;
    const isReady = await waitForRetry(options, attempt);
    if (!isReady) return outcome;
  }
}

function attemptDeadline<Result>(options: RetryOptions<Result>): number {
  const period = options.attemptMilliseconds ?? Infinity;
  return Math.min(options.deadline, options.clock.monotonicNow() + period);
}

function mayRetry(outcome: Either<TypedError, unknown>): boolean {
  return outcome.caseOf({
    Left: error => RETRYABLE_CODES.has(error.code),
    Right: () => false,
  });
}

/** Waits until another attempt may start; returns false if none may. */
async function waitForRetry<Result>(
  options: RetryOptions<Result>,
  attempt: number,
): Promise<boolean> {
  const {clock, budget, backoff, deadline, signal} = options;
  const next = backoff.nextDeadline();
  if (next >= deadline || signal?.aborted) return false;
  if (!budget.tryTake()) return false;
  await clock.sleepUntil(next, signal);
  const isStopped = await options.confirmStopped?.(attempt, deadline);
  if (isStopped === false || signal?.aborted) return false;
  return clock.monotonicNow() < deadline;
}

function deadlinePassed(): DeadlineExceededError {
  return DeadlineExceededError.create('deadline has passed before the call');
}
