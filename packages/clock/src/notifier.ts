import type {Clock} from './clock.js';

/** Lets tasks wait for a change that another task announces. */
export class Notifier {
  private wakers = new Set<() => void>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): Notifier {
    return new Notifier(clock);
  }

  /** Wakes every task that waits now; costs nothing while none does. */
  notify(): void {
    if (this.wakers.size === 0) return;
    const woken = this.wakers;
    this.wakers = new Set();
    for (const wake of woken) wake();
  }

  /**
   * Resolves at the next `notify()` or at the monotonic deadline. A change
   * between a check and this call is not missed as long as no `await` lies
   * between them.
   */
  async wait(deadline = Infinity): Promise<void> {
    if (deadline === Infinity) {
      await new Promise<void>(resolve => this.wakers.add(resolve));
      return;
    }
    const controller = new AbortController();
    // A given reason spares an exception with its stack for each wake-up.
    const wake = () => controller.abort('notified');
    this.wakers.add(wake);
    await this.clock.sleepUntil(deadline, controller.signal);
    this.wakers.delete(wake);
  }
}
