import type {Clock} from '@cardamomfield/clock';

/** Time after which an event counts for about a third. */
const DECAY_MILLISECONDS = 5_000;

/** A moving rate of events, in events a millisecond. */
export class DrainRate {
  private weight = 0;
  private updatedAt: number;
  private readonly startedAt: number;

  private constructor(private readonly clock: Clock) {
    this.startedAt = clock.monotonicNow();
    this.updatedAt = this.startedAt;
  }

  static create(clock: Clock): DrainRate {
    return new DrainRate(clock);
  }

  note(events: number): void {
    this.decay();
    this.weight += events;
  }

  perMillisecond(): number {
    this.decay();
    // Soon after the start the window is not yet filled.
    const age = this.updatedAt - this.startedAt;
    const window =
      DECAY_MILLISECONDS * (1 - Math.exp(-age / DECAY_MILLISECONDS));
    return this.weight / Math.max(1, window);
  }

  private decay(): void {
    const now = this.clock.monotonicNow();
    this.weight *= Math.exp((this.updatedAt - now) / DECAY_MILLISECONDS);
    this.updatedAt = now;
  }
}
