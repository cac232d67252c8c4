import type {Clock} from '@cardamomfield/clock';
import {RESOURCE_NAMES, type ResourceVector} from '@cardamomfield/types';
import {DecayingHistogram} from './decaying_histogram.js';

/**
 * Usage is recorded in thousandths of the declaration, up to 100 times the
 * declaration.
 */
const RATIO_SCALE = 1_000;
const HIGHEST_RATIO = 100 * RATIO_SCALE;
const PERIOD_MILLISECONDS = 3_600_000;

/** Measured tasks needed to replace the declaration. */
const MINIMUM_SAMPLES = 20;
const DEFAULT_PERCENTAGE = 95;

/** Resources whose usage may differ from the declaration while a task runs. */
const ELASTIC_RESOURCES = ['processorMillicores', 'memoryBytes'] as const;
type ElasticResource = (typeof ELASTIC_RESOURCES)[number];

interface TaskSize {
  service: string;
  team: string;
  declared: ResourceVector;
}

/** Estimates task sizes from the ratio of measured usage to declarations. */
export class SizeEstimator {
  private readonly ratios = new Map<
    string,
    Record<ElasticResource, DecayingHistogram>
  >();

  private constructor(
    private readonly clock: Clock,
    private readonly percentage: number,
  ) {}

  static create(options: {
    clock: Clock;
    /** Percentage of tasks whose usage must not exceed the estimate. */
    percentage?: number;
  }): SizeEstimator {
    return new SizeEstimator(
      options.clock,
      options.percentage ?? DEFAULT_PERCENTAGE,
    );
  }

  /** Records the peak usage of a finished task. */
  record(task: TaskSize, usage: ResourceVector): void {
    const ratios = this.ratiosOf(task);
    for (const name of ELASTIC_RESOURCES) {
      const declared = task.declared[name];
      if (declared === 0) continue;
      ratios[name].record((usage[name] / declared) * RATIO_SCALE);
    }
  }

  /**
   * Estimated size, which may be above or below the declaration. It is never
   * below the usage measured for the task itself.
   */
  estimate(task: TaskSize, measured?: ResourceVector): ResourceVector {
    const size = {...task.declared};
    const ratios = this.ratios.get(pairKey(task));
    for (const name of ELASTIC_RESOURCES) {
      const ratio = this.ratioOf(ratios?.[name]);
      size[name] = Math.ceil((task.declared[name] * ratio) / RATIO_SCALE);
    }
    if (!measured) return size;
    for (const name of RESOURCE_NAMES) {
      size[name] = Math.max(size[name], measured[name]);
    }
    return size;
  }

  private ratioOf(histogram: DecayingHistogram | undefined): number {
    if (!histogram || histogram.samples < MINIMUM_SAMPLES) {
      return RATIO_SCALE;
    }
    return histogram.percentile(this.percentage) ?? RATIO_SCALE;
  }

  private ratiosOf(task: TaskSize): Record<ElasticResource, DecayingHistogram> {
    const name = pairKey(task);
    const existing = this.ratios.get(name);
    if (existing) return existing;
    const ratios = {
      processorMillicores: this.createHistogram(),
      memoryBytes: this.createHistogram(),
    };
    this.ratios.set(name, ratios);
    return ratios;
  }

  private createHistogram(): DecayingHistogram {
    return DecayingHistogram.create({
      clock: this.clock,
      highestValue: HIGHEST_RATIO,
      periodMilliseconds: PERIOD_MILLISECONDS,
    });
  }
}

/** The key is unambiguous because names contain no space. */
function pairKey({service, team}: TaskSize): string {
  return `${service} ${team}`;
}
