import type {Clock, ManualClock} from '@cardamomfield/clock';

/**
 * The clock of one simulated process. While it is frozen its monotonic time
 * stands still and none of its timers fire; the wall clock runs on.
 */
export class FreezableClock implements Clock {
  private frozenTotal = 0;
  private frozenSince: number | undefined;
  private thaw: (() => void) | undefined;
  private thawed: Promise<void> = Promise.resolve();

  private constructor(private readonly base: ManualClock) {}

  static create(base: ManualClock): FreezableClock {
    return new FreezableClock(base);
  }

  monotonicNow(): number {
    const now = this.frozenSince ?? this.base.monotonicNow();
    return now - this.frozenTotal;
  }

  wallNow(): number {
    return this.base.wallNow();
  }

  async sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
    while (!signal?.aborted && this.monotonicNow() < deadline) {
      await this.running();
      await this.base.sleepUntil(deadline + this.frozenTotal, signal);
    }
    await this.running();
  }

  /** Resolves once the process is not frozen. */
  running(): Promise<void> {
    return this.thawed;
  }

  freeze(): void {
    if (this.frozenSince !== undefined) return;
    this.frozenSince = this.base.monotonicNow();
    this.thawed = new Promise(resolve => {
      this.thaw = resolve;
    });
  }

  unfreeze(): void {
    if (this.frozenSince === undefined) return;
    this.frozenTotal += this.base.monotonicNow() - this.frozenSince;
    this.frozenSince = undefined;
    this.thaw?.();
  }
}
