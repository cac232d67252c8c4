import type {Clock} from './clock.js';
import type {SleepSignal} from './sleep_signal.js';

/** Longest delay that Node's timers accept without overflow. */
const MAXIMUM_TIMER_MILLISECONDS = 2 ** 31 - 1;

/** The clocks of the operating system. */
export class SystemClock implements Clock {
  private constructor() {}

  static create(): SystemClock {
    return new SystemClock();
  }

  monotonicNow(): number {
    return performance.now();
  }

  wallNow(): number {
    return Date.now();
  }

  async sleepUntil(
    monotonicDeadline: number,
    signal?: SleepSignal,
  ): Promise<void> {
    // Timers may fire up to a millisecond early, so the deadline is checked
    // again after each one.
    while (!signal?.aborted) {
      const remaining = monotonicDeadline - this.monotonicNow();
      if (remaining <= 0) return;
      await this.wait(remaining, signal);
    }
  }

  private wait(milliseconds: number, signal?: SleepSignal): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const delay = Math.min(milliseconds, MAXIMUM_TIMER_MILLISECONDS);
      const timer = setTimeout(finish, delay);
      signal?.addEventListener('abort', finish);
    });
  }
}
