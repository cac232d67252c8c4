import type {Clock} from './clock.js';

/** Drift between wall and monotonic clock above which a pause is assumed. */
const MAXIMUM_DRIFT_MILLISECONDS = 60;

/**
 * Detects pauses of this process: the wall clock advances during a pause, the
 * monotonic clock does not. A step of the wall clock looks the same.
 */
export class PauseDetector {
  private baselineOffset: number;

  private constructor(private readonly clock: Clock) {
    this.baselineOffset = this.currentOffset();
  }

  static create(clock: Clock): PauseDetector {
    return new PauseDetector(clock);
  }

  /**
   * Milliseconds by which the clocks have diverged since the baseline was last
   * set, or 0 if that is within normal clock drift. A detected pause sets the
   * baseline, so each pause is reported once.
   */
  takePause(): number {
    const offset = this.currentOffset();
    const drift = Math.abs(offset - this.baselineOffset);
    if (drift <= MAXIMUM_DRIFT_MILLISECONDS) return 0;
    this.baselineOffset = offset;
    return drift;
  }

  /** Sets the baseline to the current offset between the clocks. */
  resetBaseline(): void {
    this.baselineOffset = this.currentOffset();
  }

  private currentOffset(): number {
    return this.clock.wallNow() - this.clock.monotonicNow();
  }
}
