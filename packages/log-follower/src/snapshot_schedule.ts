import type {Clock, RandomSource} from '@cardamomfield/clock';
import type {LogFollowerSettings} from './log_follower_settings.js';

interface SnapshotScheduleOptions {
  clock: Clock;
  random: RandomSource;
  settings: LogFollowerSettings;
}

/** Decides when this process writes a snapshot. */
export class SnapshotSchedule {
  /** Offset and wall-clock instant from which no snapshot covers records. */
  private uncovered: {offset: number; since: number} | undefined;
  private jitterFactor = 1;
  private notBefore = -Infinity;

  private constructor(private readonly options: SnapshotScheduleOptions) {
    this.drawJitterFactor();
  }

  static create(options: SnapshotScheduleOptions): SnapshotSchedule {
    return new SnapshotSchedule(options);
  }

  /** Registers an applied record or a state received from another process. */
  recordApplied(offset: number, appendedAt: number): void {
    this.uncovered ??= {offset, since: appendedAt};
  }

  /** Registers a snapshot in the stream, written by any process. */
  recordSnapshot(through: number, appendedAt: number): void {
    if (this.uncovered && through < this.uncovered.offset) return;
    this.uncovered = {offset: through, since: appendedAt};
    this.notBefore = -Infinity;
    this.drawJitterFactor();
  }

  /**
   * Registers an attempt to write a snapshot. The next attempt waits until the
   * snapshot has been read back, or until the retry delay has passed.
   */
  recordAttempt(): void {
    const {clock, settings} = this.options;
    this.notBefore = clock.monotonicNow() + settings.snapshotRetryMilliseconds;
  }

  /** Whether a snapshot is due for a state up to an offset. */
  isDue(nextOffset: number): boolean {
    const {clock, settings} = this.options;
    if (!settings.writesSnapshots || !this.uncovered) return false;
    if (clock.monotonicNow() < this.notBefore) return false;
    const age = clock.wallNow() - this.uncovered.since;
    const records = nextOffset - this.uncovered.offset;
    return (
      age >= settings.snapshotAfterMilliseconds * this.jitterFactor ||
      records >= settings.snapshotAfterRecords * this.jitterFactor
    );
  }

  private drawJitterFactor(): void {
    const {random, settings} = this.options;
    this.jitterFactor = 1 + random.fraction() * settings.snapshotJitter;
  }
}
