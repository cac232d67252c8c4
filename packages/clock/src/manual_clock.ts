import type {Clock} from './clock.js';
import type {SleepSignal} from './sleep_signal.js';

interface Sleeper {
  deadline: number;
  wake: () => void;
}

/**
 * A clock that advances only on request. The offset of the wall clock can be
 * set, to simulate hosts whose clocks differ.
 */
export class ManualClock implements Clock {
  private readonly sleepers = new Set<Sleeper>();

  private constructor(
    private now: number,
    private readonly wallOffset: number,
  ) {}

  /** Starts at monotonic 0; the wall clock reads `wallStart` then. */
  static create(wallStart = 1_700_000_000_000): ManualClock {
    return new ManualClock(0, wallStart);
  }

  monotonicNow(): number {
    return this.now;
  }

  wallNow(): number {
    return Math.floor(this.now + this.wallOffset);
  }

  sleepUntil(monotonicDeadline: number, signal?: SleepSignal): Promise<void> {
    if (signal?.aborted || monotonicDeadline <= this.now) {
      return Promise.resolve();
    }
    return new Promise(resolve => {
      const sleeper: Sleeper = {
        deadline: monotonicDeadline,
        wake: () => {
          this.sleepers.delete(sleeper);
          signal?.removeEventListener('abort', sleeper.wake);
          resolve();
        },
      };
      this.sleepers.add(sleeper);
      signal?.addEventListener('abort', sleeper.wake);
    });
  }

  /** The earliest deadline of all sleepers, if there are any. */
  nextDeadline(): number | undefined {
    let earliest: number | undefined;
    for (const sleeper of this.sleepers) {
      earliest = Math.min(earliest ?? Infinity, sleeper.deadline);
    }
    return earliest;
  }

  /**
   * Advances the time and wakes sleepers in the order of their deadlines. Their
   * continuations run before the next sleeper wakes.
   */
  async advance(milliseconds: number): Promise<void> {
    const end = this.now + milliseconds;
    for (;;) {
      await this.runDueContinuations();
      const next = this.nextDeadline();
      if (next === undefined || next > end) break;
      this.now = Math.max(this.now, next);
      this.wakeDue();
    }
    this.now = end;
    await this.runDueContinuations();
  }

  private wakeDue(): void {
    for (const sleeper of [...this.sleepers]) {
      if (sleeper.deadline <= this.now) sleeper.wake();
    }
  }

  private runDueContinuations(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
  }
}
