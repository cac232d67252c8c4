import type {Clock, RandomSource} from '@cardamomfield/clock';

interface BackoffOptions {
  clock: Clock;
  random: RandomSource;
  /** Upper bound of the delay before the first retry. */
  initialMilliseconds: number;
  /** Upper bound of every delay. */
  maximumMilliseconds: number;
}

/**
 * Exponential back-off with jitter. The delay doubles with each retry up to
 * the maximum. Half of it is random, so that callers that failed
 * simultaneously do not retry simultaneously.
 */
export class Backoff {
  private failures = 0;

  private constructor(private readonly options: BackoffOptions) {}

  static create(options: BackoffOptions): Backoff {
    return new Backoff(options);
  }

  /** Monotonic instant of the next attempt. */
  nextDeadline(): number {
    const {clock, random, initialMilliseconds, maximumMilliseconds} =
      this.options;
    const doubled = initialMilliseconds * 2 ** this.failures;
    const longest = Math.min(doubled, maximumMilliseconds);
    if (doubled < maximumMilliseconds) this.failures++;
    const wait = longest * (0.5 + 0.5 * random.fraction());
    return clock.monotonicNow() + wait;
  }

  /** Resets the delay to the initial one after a success. */
  reset(): void {
    this.failures = 0;
  }
}
