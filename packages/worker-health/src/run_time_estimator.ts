import type {Clock} from '@cardamomfield/clock';
import {DecayingHistogram} from './decaying_histogram.js';

/** Run times above 30 days are recorded as 30 days. */
const HIGHEST_MILLISECONDS = 30 * 86_400_000;
const PERIOD_MILLISECONDS = 3_600_000;

/** Measured run times needed to replace the declared one. */
const MINIMUM_SAMPLES = 5;

/**
 * Limit on the pairs of service and team, and on the services. The least
 * recently updated entry is evicted.
 */
const MAXIMUM_PAIRS = 2_000;

const DEFAULT_PERCENTAGE = 50;

interface Work {
  service: string;
  team: string;
}

/** Estimates run times by service and team from measured ones. */
export class RunTimeEstimator {
  private readonly pairs = new Map<string, DecayingHistogram>();
  private readonly services = new Map<string, DecayingHistogram>();

  private constructor(private readonly clock: Clock) {}

  static create(options: {clock: Clock}): RunTimeEstimator {
    return new RunTimeEstimator(options.clock);
  }

  /** Records the run time of a finished task. */
  record(work: Work, milliseconds: number): void {
    const name = pairKey(work);
    const pair = this.pairs.get(name) ?? this.createHistogram();
    pair.record(milliseconds);
    setMostRecent(this.pairs, name, pair);
    const service = this.services.get(work.service) ?? this.createHistogram();
    service.record(milliseconds);
    setMostRecent(this.services, work.service, service);
  }

  /**
   * Run time that the given percentage of recent tasks did not exceed. Uses
   * the team's tasks of the service, or all tasks of the service if these are
   * too few, or else the declared run time.
   */
  estimate(
    work: Work,
    declaredMilliseconds: number,
    percentage = DEFAULT_PERCENTAGE,
  ): number {
    const measured = [
      this.pairs.get(pairKey(work)),
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

/** The key is unambiguous because names contain no space. */
function pairKey({service, team}: Work): string {
  return `${service} ${team}`;
}

/** Moves an entry to the end and evicts the oldest one above the limit. */
function setMostRecent(
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
