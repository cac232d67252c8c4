import type {Clock} from '@cardamomfield/clock';
import {build, type Histogram} from 'hdr-histogram-js';

/**
 * A percentile is computed again after this growth in samples; computing it
 * takes about 10 microseconds, which every placement would pay.
 */
const REFRESH_GROWTH = 1.02;

interface KnownPercentile {
  percentage: number;
  samples: number;
  value: number;
}

interface DecayingHistogramOptions {
  clock: Clock;
  highestValue: number;
  /** Values count for one to two of these periods. */
  periodMilliseconds: number;
}

/** Percentiles of recent positive integers with a precision of 10 %. */
export class DecayingHistogram {
  private current: Histogram;
  private previous: Histogram;
  private rotateAt: number;
  private known: KnownPercentile | undefined;

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

  /** A value that the given percentage of recent values does not exceed. */
  percentile(percentage: number): number | undefined {
    const samples = this.samples;
    if (samples === 0) return undefined;
    const known = this.known;
    const isRecent = known && samples < known.samples * REFRESH_GROWTH;
    if (isRecent && known.percentage === percentage) return known.value;
    const value = this.compute(percentage);
    this.known = {percentage, samples, value};
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
    const isLong = now >= this.rotateAt + this.options.periodMilliseconds;
    this.previous = isLong
      ? createHistogram(this.options.highestValue)
      : this.current;
    this.current = createHistogram(this.options.highestValue);
    this.known = undefined;
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
