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
 * The latest outcomes of one service on one worker, bounded in number and in
 * age. The bound in number makes a busy worker's failures count within
 * seconds; the bound in age keeps old ones out of a quiet worker's ratio.
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

  /** Notes that the service was started on the worker. */
  noteStart(now: number): void {
    this.activeUntil = now + this.ageMilliseconds;
  }

  add(succeeded: boolean, now: number): void {
    this.activeUntil = now + this.ageMilliseconds;
    this.outcomes.push({succeeded, expiresAt: this.activeUntil});
    if (this.outcomes.length > this.maximumSamples) this.outcomes.shift();
  }

  /** Whether the worker has lately run the service. */
  isActive(now: number): boolean {
    return now < this.activeUntil;
  }

  /** Counts the latest outcomes, at most as many as the limit. */
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

  /** Forgets all outcomes. */
  clear(): void {
    this.outcomes.length = 0;
  }
}
