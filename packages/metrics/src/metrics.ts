/** Labels of one measurement. */
type Tags = Readonly<Record<string, string>>;

/** Counters, gauges and timings of this process. */
export interface Metrics {
  /** Adds to a counter. */
  increment(name: string, by?: number, tags?: Tags): void;

  /** Sets a value that can rise and fall. */
  gauge(name: string, value: number, tags?: Tags): void;

  /** Records one duration in milliseconds. */
  timing(name: string, milliseconds: number, tags?: Tags): void;
}
