import type {Clock} from '@cardamomfield/clock';
import {RESOURCE_NAMES, type ResourceVector} from '@cardamomfield/types';
import {DecayingHistogram} from './decaying_histogram.js';

/** Usage is recorded in thousandths of the declaration, up to 100 times it. */
const PER_DECLARATION = 1_000;
const HIGHEST_RATIO = 100 * PER_DECLARATION;
const PERIOD_MILLISECONDS = 3_600_000;

/** Fewer measured tasks do not replace the declaration. */
const MINIMUM_SAMPLES = 20;
const DEFAULT_PERCENTAGE = 95;

/** Resources whose use differs from the declaration while a task runs. */
const ELASTIC = ['processorMillicores', 'memoryBytes'] as const;
type Elastic = (typeof ELASTIC)[number];

interface TaskSize {
  service: string;
  team: string;
  declared: ResourceVector;
}

/** Expected sizes of tasks, from measured usage against declarations. */
export class SizeEstimator {
  private readonly ratios = new Map<
    string,
    Record<Elastic, DecayingHistogram>
  >();

  private constructor(
    private readonly clock: Clock,
    private readonly percentage: number,
  ) {}

  static create(options: {
    clock: Clock;
    /** Share of tasks, in per cent, that may not exceed their estimate. */
    percentage?: number;
  }): SizeEstimator {
    return new SizeEstimator(
      options.clock,
      options.percentage ?? DEFAULT_PERCENTAGE,
    );
  }

  /** Takes in the highest usage of a finished task. */
  record(task: TaskSize, usage: ResourceVector): void {
    const ratios = this.ratiosOf(task);
    for (const name of ELASTIC) {
      const declared = task.declared[name];
      if (declared === 0) continue;
      ratios[name].record((usage[name] / declared) * PER_DECLARATION);
    }
  }

  /**
   * Expected size, which may be above or below the declaration. It is never
   * below the usage measured for the task itself.
   */
  estimate(task: TaskSize, measured?: ResourceVector): ResourceVector {
    const size = {...task.declared};
    const ratios = this.ratios.get(pairName(task));
    for (const name of ELASTIC) {
      const ratio = this.ratioOf(ratios?.[name]);
      size[name] = Math.ceil((task.declared[name] * ratio) / PER_DECLARATION);
    }
    if (!measured) return size;
    for (const name of RESOURCE_NAMES) {
      size[name] = Math.max(size[name], measured[name]);
    }
    return size;
  }

  private ratioOf(histogram: DecayingHistogram | undefined): number {
    if (!histogram || histogram.samples < MINIMUM_SAMPLES) {
      return PER_DECLARATION;
    }
    return histogram.percentile(this.percentage) ?? PER_DECLARATION;
  }

  private ratiosOf(task: TaskSize): Record<Elastic, DecayingHistogram> {
    const name = pairName(task);
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

/** Names contain no space. */
function pairName({service, team}: TaskSize): string {
  return `${service} ${team}`;
}
