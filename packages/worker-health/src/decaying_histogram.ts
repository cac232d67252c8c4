import type {Clock} from '@cardamomfield/clock';
import {build, type Histogram} from 'hdr-histogram-js';

/**
 * Growth factor of the number of samples after which a cached percentile is
 * recomputed. Computing it takes about 10 microseconds, a cost that every
 * placement would otherwise pay.
 */
const REFRESH_GROWTH = 1.02;

interface CachedPercentile {
  percentage: number;
  samples: number;
  value: number;
}

interface DecayingHistogramOptions {
  clock: Clock;
  highestValue: number;
  /** A value is counted for one to two of these periods. */
  periodMilliseconds: number;
}

/** Percentiles of recent positive integers, with a precision of 10 %. */
export class DecayingHistogram {
  private current: Histogram;
  private previous: Histogram;
  private rotateAt: number;
  private cached: CachedPercentile | undefined;

  private constructor(private readonly options: DecayingHistogramOptions) {
    this.current = createHistogram(options.highestValue);
    this.previous = createHistogram(options.highestValue);
    this.rotateAt = options.clock.monotonicNow() + options.periodMilliseconds;
  }

  static create(options: DecayingHistogramOptions): DecayingHistogram {
    return new DecayingHistogram(options);
  }

  record(value: number): void {
    this.rotate();
    const rounded = Math.max(1, Math.ceil(value));
    this.current.recordValue(Math.min(rounded, this.options.highestValue));
  }

  get samples(): number {
    this.rotate();
    return this.current.totalCount + this.previous.totalCount;
  }

  /** The value that the given percentage of recent values does not exceed. */
  percentile(percentage: number): number | undefined {
    const samples = this.samples;
    if (samples === 0) return undefined;
    const cached = this.cached;
    const isRecent = cached && samples < cached.samples * REFRESH_GROWTH;
    if (isRecent && cached.percentage === percentage) return cached.value;
    const value = this.compute(percentage);
    this.cached = {percentage, samples, value};
    return value;
  }

  private compute(percentage: number): number {
    const merged = createHistogram(this.options.highestValue);
    merged.add(this.current);
    merged.add(this.previous);
    return merged.getValueAtPercentile(percentage);
  }

  private rotate(): void {
    const now = this.options.clock.monotonicNow();
    if (now < this.rotateAt) return;
    const isCurrentExpired =
      now >= this.rotateAt + this.options.periodMilliseconds;
    this.previous = isCurrentExpired
      ? createHistogram(this.options.highestValue)
      : this.current;
    this.current = createHistogram(this.options.highestValue);
    this.cached = undefined;
    this.rotateAt = now + this.options.periodMilliseconds;
  }
}

function createHistogram(highestValue: number): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: highestValue,
    numberOfSignificantValueDigits: 1,
    bitBucketSize: 32,
  });
}
