import type {Clock, ManualClock, SleepSignal} from '@cardamomfield/clock';

const SHORTEST_SLEEP_MILLISECONDS = 1e-6;

/**
 * The clock of one simulated process. While the process is paused, monotonic
 * time does not advance and no timer fires; the wall clock continues.
 */
export class PausableClock implements Clock {
  private pausedTotal = 0;
  private pausedSince: number | undefined;
  private resolveResumed: (() => void) | undefined;
  private resumed: Promise<void> = Promise.resolve();

  private constructor(private readonly virtualClock: ManualClock) {}

  static create(virtualClock: ManualClock): PausableClock {
    return new PausableClock(virtualClock);
  }

  monotonicNow(): number {
    const now = this.pausedSince ?? this.virtualClock.monotonicNow();
    return now - this.pausedTotal;
  }

  wallNow(): number {
    return this.virtualClock.wallNow();
  }

  async sleepUntil(deadline: number, signal?: SleepSignal): Promise<void> {
    while (!signal?.aborted && this.monotonicNow() < deadline) {
      await this.whenRunning();
      // Rounding may put the deadline at the present time of the virtual clock
      // although it has not passed on this one.
      const wakeAt = Math.max(
        deadline + this.pausedTotal,
        this.virtualClock.monotonicNow() + SHORTEST_SLEEP_MILLISECONDS,
      );
      await this.virtualClock.sleepUntil(wakeAt, signal);
    }
    await this.whenRunning();
  }

  get isPaused(): boolean {
    return this.pausedSince !== undefined;
  }

  /** Resolves as soon as the process is not paused. */
  whenRunning(): Promise<void> {
    return this.resumed;
  }

  pause(): void {
    if (this.pausedSince !== undefined) return;
    this.pausedSince = this.virtualClock.monotonicNow();
    this.resumed = new Promise(resolve => {
      this.resolveResumed = resolve;
    });
  }

  resume(): void {
    if (this.pausedSince === undefined) return;
    this.pausedTotal += this.virtualClock.monotonicNow() - this.pausedSince;
    this.pausedSince = undefined;
    this.resolveResumed?.();
  }
}
