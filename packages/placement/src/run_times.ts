import type {WorkKind} from '@cardamomfield/types';

/** Weight of the newest run time in the exponential moving average. */
const NEWEST_SAMPLE_WEIGHT = 0.05;

/** Exponential moving averages of measured run times, by class. */
export class RunTimes {
  private readonly means = new Map<WorkKind, number>();
  private readonly running = new Map<WorkKind, number>();

  private constructor() {}

  static create(): RunTimes {
    return new RunTimes();
  }

  recordStart(kind: WorkKind): void {
    this.running.set(kind, this.runningOf(kind) + 1);
  }

  recordEnd(kind: WorkKind, milliseconds: number): void {
    this.running.set(kind, this.runningOf(kind) - 1);
    const mean = this.means.get(kind) ?? milliseconds;
    this.means.set(kind, mean + NEWEST_SAMPLE_WEIGHT * (milliseconds - mean));
  }

  /**
   * Expected number of task completions in a millisecond with the tasks that
   * run now. Services are excluded because they do not end.
   */
  completionsPerMillisecond(): number {
    let rate = 0;
    for (const [kind, mean] of this.means) {
      if (kind === 'service') continue;
      rate += this.runningOf(kind) / Math.max(1, mean);
    }
    return rate;
  }

  private runningOf(kind: WorkKind): number {
    return this.running.get(kind) ?? 0;
  }
}
