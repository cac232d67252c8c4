import type {SleepSignal} from './sleep_signal.js';

/**
 * A signal for a single sleep. An `AbortController` costs several times as much,
 * and every wait for a change needs a new signal.
 */
export class Waker implements SleepSignal {
  aborted = false;
  private readonly listeners = new Set<() => void>();

  private constructor() {}

  static create(): Waker {
    return new Waker();
  }

  /** Ends the sleep, or the one that begins later with this signal. */
  readonly wake = (): void => {
    if (this.aborted) return;
    this.aborted = true;
    for (const listener of [...this.listeners]) listener();
  };

  addEventListener(_type: 'abort', listener: () => void): void {
    this.listeners.add(listener);
  }

  removeEventListener(_type: 'abort', listener: () => void): void {
    this.listeners.delete(listener);
  }
}
