/**
 * Estimates a worker's clock from its answers. The estimate never runs ahead
 * of the worker's clock by more than the two clocks' difference in rate.
 */
export class WorkerClock {
  /** Workers' clocks may be this much slower than the owner's. */
  static readonly slowestRate = 0.98;
  private reading: {worker: number; local: number} | undefined;

  private constructor() {}

  static create(): WorkerClock {
    return new WorkerClock();
  }

  get isKnown(): boolean {
    return this.reading !== undefined;
  }

  /** Takes a reading from an answer that arrived at a monotonic time. */
  observe(workerMilliseconds: number, receivedAt: number): void {
    this.reading = {worker: workerMilliseconds, local: receivedAt};
  }

  forget(): void {
    this.reading = undefined;
  }

  /** The worker's clock at a monotonic time, at least. */
  estimate(now: number): number {
    if (!this.reading) return 0;
    return (
      this.reading.worker + (now - this.reading.local) * WorkerClock.slowestRate
    );
  }

  /** Monotonic time by which the worker's clock has surely passed a value. */
  latestLocalTime(workerMilliseconds: number): number {
    if (!this.reading) return Infinity;
    const ahead = Math.max(0, workerMilliseconds - this.reading.worker);
    return this.reading.local + ahead / WorkerClock.slowestRate;
  }
}
