import type {Clock} from '@cardamomfield/clock';

/** Time constant of the decay: an event of this age has a weight of 1/e. */
const DECAY_MILLISECONDS = 5_000;

/** Exponentially decaying rate of events, in events per millisecond. */
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

  record(events: number): void {
    this.decay();
    this.weight += events;
  }

  perMillisecond(): number {
    this.decay();
    // Shortly after the start the window covers only the elapsed time.
    const elapsed = this.updatedAt - this.startedAt;
    const window =
      DECAY_MILLISECONDS * (1 - Math.exp(-elapsed / DECAY_MILLISECONDS));
    return this.weight / Math.max(1, window);
  }

  private decay(): void {
    const now = this.clock.monotonicNow();
    this.weight *= Math.exp((this.updatedAt - now) / DECAY_MILLISECONDS);
    this.updatedAt = now;
  }
}
