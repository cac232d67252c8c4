/** Half-life of evidence about workers. */
const HALF_LIFE_MILLISECONDS = 8_000;

/** Weighted observations whose weight halves with each half-life. */
export class DecayingSum {
  private sum = 0;
  private totalWeight = 0;
  private updatedAt = 0;

  private constructor() {}

  static create(): DecayingSum {
    return new DecayingSum();
  }

  /** Share of an observation's weight that is left at a monotonic time. */
  static remainingShare(observedAt: number, now: number): number {
    return now <= observedAt
      ? 1
      : 2 ** ((observedAt - now) / HALF_LIFE_MILLISECONDS);
  }

  /** Events per millisecond that a decayed number of events stands for. */
  static ratePerMillisecond(decayedCount: number): number {
    return (decayedCount * Math.LN2) / HALF_LIFE_MILLISECONDS;
  }

  add(value: number, weight: number, now: number): void {
    this.decayTo(now);
    this.sum += value * weight;
    this.totalWeight += weight;
  }

  /** Sum of the observations by weight. */
  valueAt(now: number): number {
    this.decayTo(now);
    return this.sum;
  }

  weightAt(now: number): number {
    this.decayTo(now);
    return this.totalWeight;
  }

  private decayTo(now: number): void {
    const share = DecayingSum.remainingShare(this.updatedAt, now);
    this.sum *= share;
    this.totalWeight *= share;
    this.updatedAt = Math.max(this.updatedAt, now);
  }
}
