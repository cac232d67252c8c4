import type {Clock} from '@cardamomfield/clock';

/** Interval at which the process shows that it runs. */
const INTERVAL_MILLISECONDS = 100;

/** Lateness that counts as a pause; a busy process is often late by less. */
const PAUSE_MILLISECONDS = 500;

/**
 * After a pause a host learns within this time what its peers know: it pings the
 * owner, or candidates ping it, every 250 ms.
 */
const RECOVERY_MILLISECONDS = 1_000;

/**
 * Detects that the process did not run for some time. What it knows of other
 * processes may then be old.
 */
export class PauseMonitor {
  /** Wall time, as a monotonic clock may stand still during a pause. */
  private lastRunAt: number;
  /** Monotonic time. */
  private recoversAt = -Infinity;

  private constructor(private readonly clock: Clock) {
    this.lastRunAt = clock.wallNow();
  }

  static create(clock: Clock): PauseMonitor {
    return new PauseMonitor(clock);
  }

  /** Runs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.noteRun();
      await this.clock.sleepUntil(
        this.clock.monotonicNow() + INTERVAL_MILLISECONDS,
        signal,
      );
    }
  }

  /** Whether the process has resumed so recently that its data may be old. */
  get isRecovering(): boolean {
    this.noteRun();
    return this.clock.monotonicNow() < this.recoversAt;
  }

  private noteRun(): void {
    const now = this.clock.wallNow();
    if (now - this.lastRunAt > PAUSE_MILLISECONDS) {
      this.recoversAt = this.clock.monotonicNow() + RECOVERY_MILLISECONDS;
    }
    this.lastRunAt = now;
  }
}
