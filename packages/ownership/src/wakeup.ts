import type {Clock} from '@cardamomfield/clock';

/** Lets loops sleep until a deadline or until something has changed. */
export class Wakeup {
  private controller = new AbortController();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): Wakeup {
    return new Wakeup(clock);
  }

  /** Wakes all waiting loops. */
  wake(): void {
    const woken = this.controller;
    this.controller = new AbortController();
    // Without an explicit reason, each abort would create an exception with a
    // stack trace.
    woken.abort('notified');
  }

  /** Resolves at the deadline, at the next `wake` or when the signal aborts. */
  async waitUntil(deadline: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return;
    const {controller} = this;
    const abort = () => controller.abort();
    signal.addEventListener('abort', abort);
    await this.clock.sleepUntil(deadline, controller.signal);
    signal.removeEventListener('abort', abort);
  }
}
