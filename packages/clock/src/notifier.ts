import type {Clock} from './clock.js';
import {Waker} from './waker.js';

/** Lets tasks wait until another task signals a change. */
export class Notifier {
  private wakers = new Set<() => void>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): Notifier {
    return new Notifier(clock);
  }

  /** Wakes all waiting tasks; cheap if there are none. */
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
    const waker = Waker.create();
    this.wakers.add(waker.wake);
    await this.clock.sleepUntil(deadline, waker);
    this.wakers.delete(waker.wake);
  }
}
