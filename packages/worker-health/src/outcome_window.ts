interface Outcome {
  succeeded: boolean;
  /** Monotonic instant after which the outcome no longer counts. */
  expiresAt: number;
}

interface Tally {
  samples: number;
  failures: number;
}

/**
 * The latest outcomes of one service on one worker, limited by number and age.
 * The limit on the number makes failures of a busy worker take effect within
 * seconds. The limit on the age excludes old outcomes of an idle worker.
 */
export class OutcomeWindow {
  private readonly outcomes: Outcome[] = [];
  private activeUntil = -Infinity;

  private constructor(
    private readonly maximumSamples: number,
    private readonly ageMilliseconds: number,
  ) {}

  static create(
    maximumSamples: number,
    ageMilliseconds: number,
  ): OutcomeWindow {
    return new OutcomeWindow(maximumSamples, ageMilliseconds);
  }

  /** Records that a task of the service was started on the worker. */
  recordStart(now: number): void {
    this.activeUntil = now + this.ageMilliseconds;
  }

  add(succeeded: boolean, now: number): void {
    this.activeUntil = now + this.ageMilliseconds;
    this.outcomes.push({succeeded, expiresAt: this.activeUntil});
    if (this.outcomes.length > this.maximumSamples) this.outcomes.shift();
  }

  /** Whether the worker has run the service recently. */
  isActive(now: number): boolean {
    return now < this.activeUntil;
  }

  /** Counts the latest outcomes, at most `limit` of them. */
  tally(now: number, limit = this.maximumSamples): Tally {
    const tally = {samples: 0, failures: 0};
    const first = Math.max(0, this.outcomes.length - limit);
    for (let index = first; index < this.outcomes.length; index++) {
      const {succeeded, expiresAt} = this.outcomes[index]!;
      if (now >= expiresAt) continue;
      tally.samples++;
      if (!succeeded) tally.failures++;
    }
    return tally;
  }

  clear(): void {
    this.outcomes.length = 0;
  }
}
