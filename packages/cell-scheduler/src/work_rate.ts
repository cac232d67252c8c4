/** Time constant of the decay: work of this age has a weight of 1/e. */
const DECAY_MILLISECONDS = 5_000;

/**
 * Exponentially decaying rate at which work is done, in millicores. Work is the
 * estimated time of a task times its millicores, in the unit of the backlog, so
 * that estimates that are all too low or too high cancel out.
 */
export class WorkRate {
  private weight = 0;
  private updatedAt: number;

  private constructor(private readonly startedAt: number) {
    this.updatedAt = startedAt;
  }

  static create(now: number): WorkRate {
    return new WorkRate(now);
  }

  record(work: number, now: number): void {
    this.decay(now);
    this.weight += work;
  }

  milliCores(now: number): number {
    this.decay(now);
    // Shortly after the start the window covers only the elapsed time.
    const elapsed = now - this.startedAt;
    const window =
      DECAY_MILLISECONDS * (1 - Math.exp(-elapsed / DECAY_MILLISECONDS));
    return this.weight / Math.max(1, window);
  }

  private decay(now: number): void {
    this.weight *= Math.exp((this.updatedAt - now) / DECAY_MILLISECONDS);
    this.updatedAt = now;
  }
}
