import type {OwnerCandidates} from './owner_candidates.js';
import type {GroupClaim} from './group_claim.js';
import {majorityInstant} from './majority_instant.js';
import type {OwnershipContext} from './ownership_context.js';
import type {OwnershipRecord} from './ownership_record.js';

type ClaimRecord = Extract<OwnershipRecord, {kind: 'claim'}>;
type ClaimedGroup = ClaimRecord['groups'][number];

/** A group without an owner, and since when this has been known. */
interface Orphan {
  epoch: number;
  since: number;
}

/** Epoch of a group that was never claimed. */
const NEVER_CLAIMED = -1;

/**
 * Claims groups that have no owner. The host that ranks first for a group
 * claims it immediately, each further host after a longer delay.
 */
export class GroupClaiming {
  private groups: readonly string[] = [];
  private readonly orphans = new Map<string, Orphan>();
  /** Instant since which this host has been eligible without interruption. */
  private eligibleSince = Infinity;

  private constructor(
    private readonly context: OwnershipContext,
    private readonly candidates: OwnerCandidates,
  ) {}

  static create(
    context: OwnershipContext,
    candidates: OwnerCandidates,
  ): GroupClaiming {
    return new GroupClaiming(context, candidates);
  }

  /** Sets the groups that should have an owner. */
  setGroups(groups: readonly string[]): void {
    this.groups = [...new Set(groups)].sort();
    this.context.wakeup.wake();
  }

  hasGroup(group: string): boolean {
    return this.groups.includes(group);
  }

  async run(signal: AbortSignal): Promise<void> {
    const {clock, liveness, settings, wakeup} = this.context;
    while (!signal.aborted) {
      liveness.detectPause();
      const groups = this.groupsToClaim();
      if (groups.length > 0) await this.claim(groups, signal);
      const next =
        clock.monotonicNow() + settings.evaluationIntervalMilliseconds;
      await wakeup.waitUntil(next, signal);
    }
  }

  private groupsToClaim(): ClaimedGroup[] {
    const {clock, settings} = this.context;
    const now = clock.monotonicNow();
    this.eligibleSince = this.candidates.isSelfEligible()
      ? Math.min(this.eligibleSince, now)
      : Infinity;
    if (now < this.eligibleSince + settings.claimSettleMilliseconds) return [];
    // Without a majority a claim never takes effect, but it would still end
    // the authority of an owner on the other side of a network partition.
    if (!this.isMajorityLive()) return [];
    const hosts = this.candidates.eligibleHosts();
    return this.groups.flatMap(group => this.claimIfDue(group, hosts));
  }

  private isMajorityLive(): boolean {
    const {view, liveness} = this.context;
    const instant = majorityInstant(view.voters(), voter =>
      liveness.isSilent(voter) ? -Infinity : 0,
    );
    return instant !== -Infinity;
  }

  private claimIfDue(group: string, hosts: readonly string[]): ClaimedGroup[] {
    const {process, settings, clock, stream} = this.context;
    const claim = stream.state().claims.get(group);
    const orphan = this.trackOrphan(group, claim);
    if (!orphan) return [];
    const ranked = this.withSuccessorFirst(
      this.candidates.rankHosts(group, [...hosts]),
      claim,
    );
    const delay = ranked.indexOf(process) * settings.claimStaggerMilliseconds;
    if (clock.monotonicNow() < orphan.since + delay) return [];
    const deputy = this.candidates.deputyFor(process, ranked);
    return [{group, replaces: orphan.epoch, deputy}];
  }

  private trackOrphan(
    group: string,
    claim: GroupClaim | undefined,
  ): Orphan | undefined {
    if (claim && !this.isOrphaned(claim)) {
      this.orphans.delete(group);
      return undefined;
    }
    const epoch = claim?.epoch ?? NEVER_CLAIMED;
    const known = this.orphans.get(group);
    if (known?.epoch === epoch) return known;
    const orphan = {epoch, since: this.context.clock.monotonicNow()};
    this.orphans.set(group, orphan);
    return orphan;
  }

  private isOrphaned(claim: GroupClaim): boolean {
    // A peer announced a newer claim, which the log will return soon.
    const latest = this.context.view.latestClaim(claim.group);
    if (latest && latest.epoch !== claim.epoch) return false;
    if (claim.released) return true;
    return this.context.liveness.isDown(claim.process, claim.incarnation);
  }

  private withSuccessorFirst(
    ranked: string[],
    claim: GroupClaim | undefined,
  ): string[] {
    const successor = claim?.released?.successor;
    if (!successor || !ranked.includes(successor)) return ranked;
    return [successor, ...ranked.filter(host => host !== successor)];
  }

  private async claim(
    groups: ClaimedGroup[],
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, incarnation, logger, metrics, process, settings, stream} =
      this.context;
    const record: ClaimRecord = {kind: 'claim', process, incarnation, groups};
    const appended = await stream.append(
      record,
      clock.monotonicNow() + settings.appendTimeoutMilliseconds,
    );
    appended
      .ifRight(offset => {
        metrics.increment('ownership.claims', groups.length);
        logger.info('claimed groups', {epoch: offset, count: groups.length});
      })
      .ifLeft(error => {
        logger.warn('append of claim record was not confirmed', {
          ...error.toJSON(),
        });
      });
    if (appended.isLeft()) {
      await clock.sleepUntil(
        clock.monotonicNow() + settings.evaluationIntervalMilliseconds,
        signal,
      );
    }
  }
}
