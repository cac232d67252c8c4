/**
 * Estimates a worker's clock from its responses. The estimate is not ahead of
 * the worker's clock as long as that clock runs at `slowestRate` or faster.
 */
export class WorkerClock {
  /** Slowest rate of a worker's clock relative to the owner's clock. */
  static readonly slowestRate = 0.98;
  private reading: {worker: number; local: number} | undefined;

  private constructor() {}

  static create(): WorkerClock {
    return new WorkerClock();
  }

  get isKnown(): boolean {
    return this.reading !== undefined;
  }

  /** Stores a clock reading received at the given monotonic time. */
  observe(workerMilliseconds: number, receivedAt: number): void {
    this.reading = {worker: workerMilliseconds, local: receivedAt};
  }

  reset(): void {
    this.reading = undefined;
  }

  /** Lower bound of the worker's clock at the given monotonic time. */
  estimate(now: number): number {
    if (!this.reading) return 0;
    return (
      this.reading.worker + (now - this.reading.local) * WorkerClock.slowestRate
    );
  }

  /** Latest monotonic time at which the worker's clock passes a value. */
  latestLocalTime(workerMilliseconds: number): number {
    if (!this.reading) return Infinity;
    const ahead = Math.max(0, workerMilliseconds - this.reading.worker);
    return this.reading.local + ahead / WorkerClock.slowestRate;
  }
}
