import type {Clock} from '@cardamomfield/clock';
import {DecayingHistogram} from './decaying_histogram.js';

/** Longest run time that is told apart: 30 days. */
const HIGHEST_MILLISECONDS = 30 * 86_400_000;
const PERIOD_MILLISECONDS = 3_600_000;

/** Fewer measured run times do not replace the declaration. */
const MINIMUM_SAMPLES = 5;

/** Pairs of service and team that are kept; the least recent one goes. */
const MAXIMUM_PAIRS = 2_000;

const DEFAULT_PERCENTAGE = 50;

interface Work {
  service: string;
  team: string;
}

/** Expected run times by service and team, from measured ones. */
export class RunTimeEstimator {
  private readonly pairs = new Map<string, DecayingHistogram>();
  private readonly services = new Map<string, DecayingHistogram>();

  private constructor(private readonly clock: Clock) {}

  static create(options: {clock: Clock}): RunTimeEstimator {
    return new RunTimeEstimator(options.clock);
  }

  /** Takes in the run time of a finished task. */
  record(work: Work, milliseconds: number): void {
    const name = pairName(work);
    const pair = this.pairs.get(name) ?? this.createHistogram();
    pair.record(milliseconds);
    remember(this.pairs, name, pair);
    const service = this.services.get(work.service) ?? this.createHistogram();
    service.record(milliseconds);
    remember(this.services, work.service, service);
  }

  /**
   * Run time that the percentage of recent tasks did not exceed: of the team's
   * tasks, else of the service's, else as declared.
   */
  estimate(
    work: Work,
    declaredMilliseconds: number,
    percentage = DEFAULT_PERCENTAGE,
  ): number {
    const measured = [
      this.pairs.get(pairName(work)),
      this.services.get(work.service),
    ].find(histogram => (histogram?.samples ?? 0) >= MINIMUM_SAMPLES);
    return measured?.percentile(percentage) ?? declaredMilliseconds;
  }

  private createHistogram(): DecayingHistogram {
    return DecayingHistogram.create({
      clock: this.clock,
      highestValue: HIGHEST_MILLISECONDS,
      periodMilliseconds: PERIOD_MILLISECONDS,
    });
  }
}

/** Names contain no space. */
function pairName({service, team}: Work): string {
  return `${service} ${team}`;
}

/** Moves an entry to the end and drops the first one beyond the limit. */
function remember(
  entries: Map<string, DecayingHistogram>,
  name: string,
  histogram: DecayingHistogram,
): void {
  entries.delete(name);
  entries.set(name, histogram);
  if (entries.size <= MAXIMUM_PAIRS) return;
  for (const oldest of entries.keys()) {
    entries.delete(oldest);
    return;
  }
}
