import type {Metrics} from './metrics.js';

/** Keeps counters and gauges in memory; for tests, status and embedding. */
export class MemoryMetrics implements Metrics {
  private readonly values = new Map<string, number>();

  private constructor() {}

  static create(): MemoryMetrics {
    return new MemoryMetrics();
  }

  increment(name: string, by = 1): void {
    this.values.set(name, this.value(name) + by);
  }

  gauge(name: string, value: number): void {
    this.values.set(name, value);
  }

  timing(name: string, milliseconds: number): void {
    this.increment(`${name}.count`);
    this.increment(`${name}.sum`, milliseconds);
  }

  /** The current value of a counter or gauge; 0 if it was never set. */
  value(name: string): number {
    return this.values.get(name) ?? 0;
  }

  /** All values by name. */
  snapshot(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.values);
  }
}
