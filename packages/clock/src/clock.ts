import type {SleepSignal} from './sleep_signal.js';

/**
 * Source of time. Monotonic values are milliseconds from an arbitrary start
 * and must never leave the process; wall values are milliseconds since the
 * Unix epoch and may be sent to other processes.
 */
export interface Clock {
  /** Milliseconds on a clock that never goes back, with fractions. */
  monotonicNow(): number;

  /** Milliseconds since the Unix epoch. */
  wallNow(): number;

  /**
   * Resolves once `monotonicNow()` is at or after the deadline, or as soon as
   * the signal aborts. It never rejects: callers check the signal themselves.
   */
  sleepUntil(monotonicDeadline: number, signal?: SleepSignal): Promise<void>;
}
