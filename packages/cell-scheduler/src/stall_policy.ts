import type {Run} from './run.js';

/** Minimum time without progress that counts as a stall. */
const MINIMUM_STALL_MILLISECONDS = 1_500;

/**
 * A run may take this share of its estimated run time before it shows its first
 * progress.
 */
const FIRST_PROGRESS_SHARE = 0.3;

/**
 * The next percent of progress may take this many times as long as each percent
 * took on average so far.
 */
const SLOWDOWN_FACTOR = 4;

/** Detects runs that make no progress although their worker answers. */
export class StallPolicy {
  private constructor() {}

  static create(): StallPolicy {
    return new StallPolicy();
  }

  /** True when the run should be stopped and retried on another worker. */
  isStalled(run: Run, now: number): boolean {
    const {specification} = run.step;
    if (run.phase !== 'running' || run.runningSince === undefined) return false;
    if (run.pacePercent < 100) return false;
    // A service reports 100 percent once it serves, and no progress after that.
    if (specification.isService && run.progressPercent >= 100) return false;
    const sinceProgress = now - Math.max(run.progressedAt, run.runningSince);
    return sinceProgress > this.stallThresholdMilliseconds(run);
  }

  private stallThresholdMilliseconds(run: Run): number {
    const {estimatedMilliseconds} = run.step.specification;
    const elapsed = run.progressedAt - (run.runningSince ?? 0);
    const expected =
      run.progressPercent > 0
        ? (elapsed / run.progressPercent) * SLOWDOWN_FACTOR
        : estimatedMilliseconds * FIRST_PROGRESS_SHARE;
    return Math.max(MINIMUM_STALL_MILLISECONDS, expected);
  }
}
