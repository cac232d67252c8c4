import type {Clock, RandomSource} from '@cardamomfield/clock';
import type {LogFollowerSettings} from './log_follower_settings.js';

interface SnapshotScheduleOptions {
  clock: Clock;
  random: RandomSource;
  settings: LogFollowerSettings;
}

/** Decides when this process writes a snapshot. */
export class SnapshotSchedule {
  /** Offset and wall-clock instant from which records are not covered. */
  private uncovered: {offset: number; since: number} | undefined;
  private factor = 1;
  private notBefore = -Infinity;

  private constructor(private readonly options: SnapshotScheduleOptions) {
    this.drawFactor();
  }

  static create(options: SnapshotScheduleOptions): SnapshotSchedule {
    return new SnapshotSchedule(options);
  }

  /** Notes an applied record or a state taken from elsewhere. */
  noteRecord(offset: number, appendedAt: number): void {
    this.uncovered ??= {offset, since: appendedAt};
  }

  /** Notes a snapshot in the stream, by any process. */
  noteSnapshot(through: number, appendedAt: number): void {
    if (this.uncovered && through < this.uncovered.offset) return;
    this.uncovered = {offset: through, since: appendedAt};
    this.notBefore = -Infinity;
    this.drawFactor();
  }

  /**
   * Notes an attempt to write one. The next attempt waits until the snapshot
   * has been read back, or long enough for a failed attempt to be repeated.
   */
  noteAttempt(): void {
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
      age >= settings.snapshotAfterMilliseconds * this.factor ||
      records >= settings.snapshotAfterRecords * this.factor
    );
  }

  private drawFactor(): void {
    const {random, settings} = this.options;
    this.factor = 1 + random.fraction() * settings.snapshotJitter;
  }
}
