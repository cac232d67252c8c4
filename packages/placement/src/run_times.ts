import type {WorkKind} from '@cardamomfield/types';

/** Weight of the newest run time in the moving mean. */
const NEWEST_WEIGHT = 0.05;

/** Moving means of measured run times, by class. */
export class RunTimes {
  private readonly means = new Map<WorkKind, number>();
  private readonly running = new Map<WorkKind, number>();

  private constructor() {}

  static create(): RunTimes {
    return new RunTimes();
  }

  started(kind: WorkKind): void {
    this.running.set(kind, this.runningOf(kind) + 1);
  }

  ended(kind: WorkKind, milliseconds: number): void {
    this.running.set(kind, this.runningOf(kind) - 1);
    const mean = this.means.get(kind) ?? milliseconds;
    this.means.set(kind, mean + NEWEST_WEIGHT * (milliseconds - mean));
  }

  /** Ends in a millisecond at the present number of tasks; services never end. */
  endsPerMillisecond(): number {
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
