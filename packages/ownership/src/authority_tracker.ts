import type {VotersView} from '@cardamomfield/peer-protocol';
import {majorityInstant} from './majority_instant.js';

interface AuthorityTrackerOptions {
  process: string;
  authorityPeriodMilliseconds: number;
}

/**
 * Until when this process may act on the claims it knows as the latest. The
 * proofs cover all groups at once: a tail read shows every claim, and an answer
 * names every newer claim of any group.
 */
export class AuthorityTracker {
  private tailDeadline = -Infinity;
  private majorityDeadline = -Infinity;
  private readonly answers = new Map<string, number>();
  private answersOffset: number | undefined;

  private constructor(private readonly options: AuthorityTrackerOptions) {}

  static create(options: AuthorityTrackerOptions): AuthorityTracker {
    return new AuthorityTracker(options);
  }

  /** Notes a tail read by the instant it was sent. */
  recordTailRead(sentAt: number): void {
    this.tailDeadline = Math.max(
      this.tailDeadline,
      sentAt + this.options.authorityPeriodMilliseconds,
    );
  }

  /**
   * Notes the answer of a peer to a question that was sent under these voters,
   * by the instant the question was sent.
   */
  recordAnswer(peer: string, sentAt: number, voters: VotersView): void {
    this.discardAnswersOfOtherVoters(voters);
    const last = this.answers.get(peer) ?? -Infinity;
    this.answers.set(peer, Math.max(last, sentAt));
    this.extend(voters);
  }

  /** Notes the own knowledge, which counts when this process is a voter. */
  recordSelf(now: number, voters: VotersView): void {
    this.discardAnswersOfOtherVoters(voters);
    this.answers.set(this.options.process, now);
    this.extend(voters);
  }

  /** End of authority by either proof. */
  heldUntil(): number {
    return Math.max(this.tailDeadline, this.majorityDeadline);
  }

  /** End of authority by tail reads alone. */
  heldByTailReadUntil(): number {
    return this.tailDeadline;
  }

  /** End of authority by the answers of a majority alone. */
  heldByMajorityUntil(): number {
    return this.majorityDeadline;
  }

  /**
   * Answers given under other voters say nothing about the present majority;
   * an authority that was already proved stays.
   */
  private discardAnswersOfOtherVoters(voters: VotersView): void {
    if (this.answersOffset === voters.offset) return;
    this.answersOffset = voters.offset;
    this.answers.clear();
  }

  private extend(voters: VotersView): void {
    const instant = majorityInstant(
      voters,
      voter => this.answers.get(voter) ?? -Infinity,
    );
    this.majorityDeadline = Math.max(
      this.majorityDeadline,
      instant + this.options.authorityPeriodMilliseconds,
    );
  }
}
