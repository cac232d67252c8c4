import type {VotersView} from '@cardamomfield/peer-protocol';
import {majorityInstant} from './majority_instant.js';

interface AuthorityTrackerOptions {
  process: string;
  authorityPeriodMilliseconds: number;
}

/**
 * Computes until when this process may act on the claims that it knows as the
 * latest. Each proof covers all groups: a tail read returns every claim, and
 * the answer of a voter contains every newer claim of any group.
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

  /** Records a successful tail read that was sent at the given instant. */
  recordTailRead(sentAt: number): void {
    this.tailDeadline = Math.max(
      this.tailDeadline,
      sentAt + this.options.authorityPeriodMilliseconds,
    );
  }

  /**
   * Records the answer of a peer to a query. `sentAt` is the instant at which
   * the query was sent, and `voters` is the set known at that instant.
   */
  recordAnswer(peer: string, sentAt: number, voters: VotersView): void {
    this.discardAnswersOfOtherVoters(voters);
    const last = this.answers.get(peer) ?? -Infinity;
    this.answers.set(peer, Math.max(last, sentAt));
    this.extend(voters);
  }

  /** Records an answer by this process; it counts only if it is a voter. */
  recordSelf(now: number, voters: VotersView): void {
    this.discardAnswersOfOtherVoters(voters);
    this.answers.set(this.options.process, now);
    this.extend(voters);
  }

  /** Instant up to which either proof grants authority. */
  heldUntil(): number {
    return Math.max(this.tailDeadline, this.majorityDeadline);
  }

  /** Instant up to which tail reads alone grant authority. */
  heldByTailReadUntil(): number {
    return this.tailDeadline;
  }

  /** Instant up to which the answers of a majority alone grant authority. */
  heldByMajorityUntil(): number {
    return this.majorityDeadline;
  }

  /**
   * Answers under another set of voters prove nothing about the current
   * majority. Authority that was already proved remains valid.
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
