import type {Clock} from '@cardamomfield/clock';

/** Reason of aborts; without one, each abort builds a stack trace. */
const CHANGED = 'something changed';

/** Wakes all who wait for a change. */
export class Notifier {
  private readonly waiting = new Set<AbortController>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): Notifier {
    return new Notifier(clock);
  }

  notify(): void {
    const woken = [...this.waiting];
    this.waiting.clear();
    for (const controller of woken) controller.abort(CHANGED);
  }

  /** Resolves at the next notification or at the monotonic deadline. */
  async wait(deadline: number): Promise<void> {
    const controller = new AbortController();
    this.waiting.add(controller);
    await this.clock.sleepUntil(deadline, controller.signal);
    this.waiting.delete(controller);
  }
}
