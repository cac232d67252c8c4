import type {Clock, RandomSource} from '@cardamomfield/clock';
import {
  OWNER_SUMMARY_SECTION,
  type OwnerSummary,
  type PeerNetwork,
} from '@cardamomfield/peer-protocol';
import {RESOURCE_NAMES, type Submission} from '@cardamomfield/types';

/** What a transfer to another region is worth in milliseconds of waiting. */
const REGION_TRANSFER_COST_MILLISECONDS = 2_000;

/** Score added per queued task when nothing is free. */
const QUEUED_TASK_COST_MILLISECONDS = 5;

/** Score of an owner without enough free room for one task. */
const NO_ROOM_COST_MILLISECONDS = 10_000;

interface OwnerChooserOptions {
  network: PeerNetwork;
  clock: Clock;
  random: RandomSource;
  /** Summary of the owner in this process. */
  localSummary: () => OwnerSummary;
}

interface Candidate {
  name: string;
  incarnation: string;
  score: number;
}

type Offer = OwnerSummary['offers'][number];

/** Picks the owner that should place a task, from the heartbeat summaries. */
export class OwnerChooser {
  private constructor(private readonly options: OwnerChooserOptions) {}

  static create(options: OwnerChooserOptions): OwnerChooser {
    return new OwnerChooser(options);
  }

  /** The best owner, or undefined when none serves the request. */
  choose(
    submission: Submission,
    excluded: ReadonlySet<string>,
  ): {name: string; incarnation: string} | undefined {
    const candidates = this.summaries()
      .filter(([name, summary]) => !excluded.has(name) && !summary.isLeaving)
      .flatMap(([name, summary]) => this.candidates(name, summary, submission));
    return this.pick(candidates);
  }

  /** The incarnation of an owner as last heard, if it is known. */
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
    if (!hasRoom(offer, submission)) {
      score += NO_ROOM_COST_MILLISECONDS;
      score += offer.queued * QUEUED_TASK_COST_MILLISECONDS;
    }
    return score;
  }

  /**
   * The better of two random candidates among those close to the best score:
   * always taking the best would send everything of one heartbeat period to
   * one owner.
   */
  private pick(candidates: Candidate[]): Candidate | undefined {
    if (candidates.length === 0) return undefined;
    const best = Math.min(...candidates.map(each => each.score));
    const close = candidates.filter(
      each => each.score < best + REGION_TRANSFER_COST_MILLISECONDS / 2,
    );
    const first = close[this.options.random.integerBelow(close.length)];
    const second = close[this.options.random.integerBelow(close.length)];
    if (!first || !second) return first ?? second;
    return first.score <= second.score ? first : second;
  }
}

function hasRoom(offer: Offer, submission: Submission): boolean {
  return RESOURCE_NAMES.every(
    (name, position) =>
      (offer.largest[position] ?? 0) >= submission.demand[name],
  );
}
