/**
 * Largest share of contracted submissions that is refused. At most 60 % may be
 * refused or fail; the rest is left for failures.
 */
const LARGEST_SHARE = 0.55;

/** Below this number of refused submissions, their share says little. */
const FEWEST_REFUSED = 10;

/** Time over which the share is measured. */
const WINDOW_MILLISECONDS = 30_000;

/**
 * Bounds the share of contracted submissions that are refused. A submission
 * that is refused more than once counts once, and one that is accepted in the
 * end counts as accepted.
 */
export class RefusalBound {
  /** Time of the last refusal by submission, the oldest first. */
  private readonly refused = new Map<string, number>();
  private accepted = 0;
  private updatedAt = -Infinity;

  private constructor() {}

  static create(): RefusalBound {
    return new RefusalBound();
  }

  /** Whether one more submission may be refused; counts it if so. */
  refuse(id: string, now: number): boolean {
    this.update(now);
    const count = this.refused.size + (this.refused.has(id) ? 0 : 1);
    const share = count / (count + this.accepted);
    if (count > FEWEST_REFUSED && share > LARGEST_SHARE) return false;
    this.refused.delete(id);
    this.refused.set(id, now);
    return true;
  }

  accept(id: string, now: number): void {
    this.update(now);
    this.refused.delete(id);
    this.accepted++;
  }

  private update(now: number): void {
    this.accepted *= Math.exp((this.updatedAt - now) / WINDOW_MILLISECONDS);
    this.updatedAt = now;
    for (const [id, refusedAt] of this.refused) {
      if (refusedAt >= now - WINDOW_MILLISECONDS) return;
      this.refused.delete(id);
    }
  }
}
