import type {Clock, RandomSource} from '@cardamomfield/clock';
import {
  OWNER_SUMMARY_SECTION,
  type OwnerSummary,
  type PeerNetwork,
} from '@cardamomfield/peer-protocol';
import {RESOURCE_NAMES, type Submission} from '@cardamomfield/types';

/** Cost of a transfer to another region, in milliseconds of waiting. */
const REGION_TRANSFER_COST_MILLISECONDS = 2_000;

/** Score added per queued task when no worker has enough free capacity. */
const QUEUED_TASK_COST_MILLISECONDS = 5;

/** Score added when no worker has enough free capacity for one task. */
const NO_CAPACITY_COST_MILLISECONDS = 10_000;

interface OwnerChooserOptions {
  network: PeerNetwork;
  clock: Clock;
  random: RandomSource;
  /** Summary of this process in its role as an owner. */
  localSummary: () => OwnerSummary;
}

interface Candidate {
  name: string;
  incarnation: string;
  score: number;
}

type Offer = OwnerSummary['offers'][number];

/** Chooses the owner that places a task, based on heartbeat summaries. */
export class OwnerChooser {
  private constructor(private readonly options: OwnerChooserOptions) {}

  static create(options: OwnerChooserOptions): OwnerChooser {
    return new OwnerChooser(options);
  }

  /** Returns a suitable owner, or undefined when none offers the service. */
  choose(
    submission: Submission,
    excluded: ReadonlySet<string>,
  ): {name: string; incarnation: string} | undefined {
    const candidates = this.summaries()
      .filter(([name, summary]) => !excluded.has(name) && !summary.isLeaving)
      .flatMap(([name, summary]) => this.candidates(name, summary, submission));
    return this.pick(candidates);
  }

  /** Incarnation of an owner according to its last heartbeat, if known. */
  incarnationOf(name: string): string | undefined {
    return this.summaryOf(name)?.incarnation;
  }

  private summaries(): Array<[string, OwnerSummary]> {
    const {network} = this.options;
    const names = [network.self, ...network.livePeers()];
    return names.flatMap(name => {
      const summary = this.summaryOf(name);
      return summary ? [[name, summary] as [string, OwnerSummary]] : [];
    });
  }

  private summaryOf(name: string): OwnerSummary | undefined {
    const {network, localSummary} = this.options;
    if (name === network.self) return localSummary();
    return network.latest(name, OWNER_SUMMARY_SECTION)?.value;
  }

  private candidates(
    name: string,
    summary: OwnerSummary,
    submission: Submission,
  ): Candidate[] {
    return summary.offers
      .filter(
        offer => offer.service === submission.service && offer.workers > 0,
      )
      .map(offer => ({
        name,
        incarnation: summary.incarnation,
        score: this.score(offer, summary, submission),
      }));
  }

  /** Expected cost in milliseconds of waiting; lower is better. */
  private score(
    offer: Offer,
    summary: OwnerSummary,
    submission: Submission,
  ): number {
    let score = summary.expectedWait[submission.kind] ?? 0;
    if (offer.region !== submission.region) {
      score += REGION_TRANSFER_COST_MILLISECONDS;
    }
    if (!hasCapacity(offer, submission)) {
      score += NO_CAPACITY_COST_MILLISECONDS;
      score += offer.queued * QUEUED_TASK_COST_MILLISECONDS;
    }
    return score;
  }

  /**
   * Returns the better of two random candidates among those close to the best
   * score. Always choosing the best would send all tasks of one heartbeat
   * period to the same owner.
   */
  private pick(candidates: Candidate[]): Candidate | undefined {
    if (candidates.length === 0) return undefined;
    const best = Math.min(...candidates.map(each => each.score));
    const nearBest = candidates.filter(
      each => each.score < best + REGION_TRANSFER_COST_MILLISECONDS / 2,
    );
    const first = nearBest[this.options.random.integerBelow(nearBest.length)];
    const second = nearBest[this.options.random.integerBelow(nearBest.length)];
    if (!first || !second) return first ?? second;
    return first.score <= second.score ? first : second;
  }
}

function hasCapacity(offer: Offer, submission: Submission): boolean {
  return RESOURCE_NAMES.every(
    (name, position) =>
      (offer.largest[position] ?? 0) >= submission.demand[name],
  );
}
