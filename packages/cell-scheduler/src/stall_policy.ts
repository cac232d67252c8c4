import type {Run} from './run.js';

/** Shortest standstill of a run's progress that counts as a stall. */
const SHORTEST_STALL_MILLISECONDS = 1_500;

/** A run that has shown no progress yet may take this share of its estimate. */
const FIRST_PROGRESS_SHARE = 0.3;

/** A step of progress may take this many times as long as those before. */
const SLOWER_FACTOR = 4;

/** Notices runs that stand still although their worker answers. */
export class StallPolicy {
  private constructor() {}

  static create(): StallPolicy {
    return new StallPolicy();
  }

  /** True when the run should be ended and tried on another worker. */
  isStalled(run: Run, now: number): boolean {
    const {specification} = run.step;
    if (run.phase !== 'running' || run.runningSince === undefined) return false;
    if (run.pacePercent < 100) return false;
    // A service is at work at 100 percent and shows no progress from there.
    if (specification.isService && run.progressPercent >= 100) return false;
    const standstill = now - Math.max(run.progressedAt, run.runningSince);
    return standstill > this.longestStandstill(run);
  }

  private longestStandstill(run: Run): number {
    const {estimatedMilliseconds} = run.step.specification;
    const elapsed = run.progressedAt - (run.runningSince ?? 0);
    const expected =
      run.progressPercent > 0
        ? (elapsed / run.progressPercent) * SLOWER_FACTOR
        : estimatedMilliseconds * FIRST_PROGRESS_SHARE;
    return Math.max(SHORTEST_STALL_MILLISECONDS, expected);
  }
}
