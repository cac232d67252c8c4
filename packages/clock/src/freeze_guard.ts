import type {Clock} from './clock.js';

/** Wall and monotonic clock may part by this much before a freeze is assumed. */
const MAXIMUM_DRIFT_MILLISECONDS = 60;

/**
 * Notices that this process stood still: the monotonic clock does not count
 * such a pause, the wall clock does. A step of the wall clock looks the same.
 */
export class FreezeGuard {
  private difference: number;

  private constructor(private readonly clock: Clock) {
    this.difference = this.read();
  }

  static create(clock: Clock): FreezeGuard {
    return new FreezeGuard(clock);
  }

  /**
   * Milliseconds by which the clocks have parted since the last freeze or call
   * of `settle`; 0 while that is no more than clocks drift by themselves. A
   * freeze is told once.
   */
  takeFreeze(): number {
    const difference = this.read();
    const drift = Math.abs(difference - this.difference);
    if (drift <= MAXIMUM_DRIFT_MILLISECONDS) return 0;
    this.difference = difference;
    return drift;
  }

  /** Takes the present difference of the clocks as usual. */
  settle(): void {
    this.difference = this.read();
  }

  private read(): number {
    return this.clock.wallNow() - this.clock.monotonicNow();
  }
}
