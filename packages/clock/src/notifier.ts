import type {Clock} from './clock.js';

/** Lets tasks wait for a change that another task announces. */
export class Notifier {
  private controller = new AbortController();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): Notifier {
    return new Notifier(clock);
  }

  /** Wakes every task that waits now. */
  notify(): void {
    const woken = this.controller;
    this.controller = new AbortController();
    // A given reason spares an exception with its stack for each wake-up.
    woken.abort('notified');
  }

  /**
   * Resolves at the next `notify()` or at the monotonic deadline. A change
   * between a check and this call is not missed as long as no `await` lies
   * between them.
   */
  wait(deadline = Infinity): Promise<void> {
    if (deadline === Infinity) return this.waitForever();
    return this.clock.sleepUntil(deadline, this.controller.signal);
  }

  private waitForever(): Promise<void> {
    const signal = this.controller.signal;
    return new Promise(resolve =>
      signal.addEventListener('abort', () => resolve(), {once: true}),
    );
  }
}
