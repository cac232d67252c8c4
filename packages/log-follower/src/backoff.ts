import type {Clock, RandomSource} from '@cardamomfield/clock';

interface BackoffOptions {
  clock: Clock;
  random: RandomSource;
  minimumMilliseconds: number;
  maximumMilliseconds: number;
}

interface WaitOptions {
  signal?: AbortSignal;
  /** Monotonic instant by which the wait ends at the latest. */
  deadline?: number;
}

/** Exponential back-off: the delay doubles with each failure, with jitter. */
export class Backoff {
  private failures = 0;

  private constructor(private readonly options: BackoffOptions) {}

  static create(options: BackoffOptions): Backoff {
    return new Backoff(options);
  }

  /** Resets the delay to the minimum. */
  reset(): void {
    this.failures = 0;
  }

  /** Waits after a failure and doubles the next delay. */
  async wait(options: WaitOptions = {}): Promise<void> {
    const {clock, random, minimumMilliseconds, maximumMilliseconds} =
      this.options;
    const longest = Math.min(
      maximumMilliseconds,
      minimumMilliseconds * 2 ** this.failures,
    );
    this.failures += 1;
    const delay = longest * (0.5 + random.fraction() / 2);
    const end = clock.monotonicNow() + delay;
    const deadline = Math.min(end, options.deadline ?? Infinity);
    await clock.sleepUntil(deadline, options.signal);
  }
}
