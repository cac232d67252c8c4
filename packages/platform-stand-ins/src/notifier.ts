import type {Clock} from '@cardamomfield/clock';

/** Abort reason; without one, each abort captures a stack trace. */
const ABORT_REASON = 'something changed';

/** Wakes all callers of `wait` when a change is notified. */
export class Notifier {
  private readonly waiters = new Set<AbortController>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): Notifier {
    return new Notifier(clock);
  }

  notify(): void {
    const woken = [...this.waiters];
    this.waiters.clear();
    for (const controller of woken) controller.abort(ABORT_REASON);
  }

  /** Resolves at the next notification, or at the monotonic deadline. */
  async wait(deadline: number): Promise<void> {
    const controller = new AbortController();
    this.waiters.add(controller);
    await this.clock.sleepUntil(deadline, controller.signal);
    this.waiters.delete(controller);
  }
}
