import type {Clock, RandomSource} from '@cardamomfield/clock';

interface BackoffOptions {
  clock: Clock;
  random: RandomSource;
  /** Longest wait before the first retry. */
  initialMilliseconds: number;
  /** Longest wait before any retry. */
  maximumMilliseconds: number;
}

/**
 * Deadlines for successive retries. The wait doubles each time up to the
 * maximum; the second half of it is random, so that many callers that failed
 * together do not retry together.
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

  /** Starts again from the initial wait, after a success. */
  reset(): void {
    this.failures = 0;
  }
}
