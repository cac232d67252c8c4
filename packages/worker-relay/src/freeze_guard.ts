import type {Clock} from '@cardamomfield/clock';

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

  /** True when the process stood still since the last check. */
  hasFrozen(): boolean {
    const difference = this.read();
    const drift = Math.abs(difference - this.difference);
    this.difference = difference;
    return drift > MAXIMUM_DRIFT_MILLISECONDS;
  }

  private read(): number {
    return this.clock.wallNow() - this.clock.monotonicNow();
  }
}
