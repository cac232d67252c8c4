import type {OwnerCandidates} from './owner_candidates.js';
import type {GroupClaiming} from './group_claiming.js';
import type {GroupRelease} from './group_release.js';
import type {OwnershipContext} from './ownership_context.js';

/** Moves groups to the hosts that rank first for them, in small batches. */
export class GroupRebalancing {
  private readonly eligibleSince = new Map<string, number>();

  private constructor(
    private readonly context: OwnershipContext,
    private readonly candidates: OwnerCandidates,
    private readonly claiming: GroupClaiming,
    private readonly release: GroupRelease,
  ) {}

  static create(
    context: OwnershipContext,
    candidates: OwnerCandidates,
    claiming: GroupClaiming,
    release: GroupRelease,
  ): GroupRebalancing {
    return new GroupRebalancing(context, candidates, claiming, release);
  }

  async run(signal: AbortSignal): Promise<void> {
    const {clock, settings, tracker} = this.context;
    let nextBatchAt =
      clock.monotonicNow() + settings.rebalanceIntervalMilliseconds;
    while (!signal.aborted) {
      await clock.sleepUntil(
        clock.monotonicNow() + settings.evaluationIntervalMilliseconds,
        signal,
      );
      this.trackEligibility();
      const now = clock.monotonicNow();
      if (signal.aborted || now < nextBatchAt) continue;
      nextBatchAt = now + settings.rebalanceIntervalMilliseconds;
      // While the log can't be reached, a release can't be appended. A group
      // given up now would have no owner until the log can be reached again.
      if (tracker.heldByTailReadUntil() <= now) continue;
      const deadline = now + settings.appendTimeoutMilliseconds;
      await this.release.retry(deadline);
      await this.releaseUnconfigured(deadline);
      await this.moveBatch(deadline);
    }
  }

  private trackEligibility(): void {
    const now = this.context.clock.monotonicNow();
    const eligible = new Set(this.candidates.eligibleHosts());
    for (const host of this.eligibleSince.keys()) {
      if (!eligible.has(host)) this.eligibleSince.delete(host);
    }
    for (const host of eligible) {
      if (!this.eligibleSince.has(host)) this.eligibleSince.set(host, now);
    }
  }

  private async releaseUnconfigured(deadline: number): Promise<void> {
    const groups = this.ownedGroups().filter(
      group => !this.claiming.hasGroup(group),
    );
    if (groups.length > 0) await this.release.release(groups, deadline);
  }

  private async moveBatch(deadline: number): Promise<void> {
    const {process, settings} = this.context;
    const hosts = this.stableHosts();
    if (!hosts.includes(process)) return;
    const misplaced = this.stableGroups()
      .map(group => ({
        group,
        successor: this.candidates.rankHosts(group, hosts)[0],
      }))
      .filter(({successor}) => successor !== process)
      .slice(0, settings.rebalanceBatchSize);
    const bySuccessor = new Map<string, string[]>();
    for (const {group, successor} of misplaced) {
      if (!successor) continue;
      bySuccessor.set(successor, [
        ...(bySuccessor.get(successor) ?? []),
        group,
      ]);
    }
    for (const [successor, groups] of bySuccessor) {
      await this.release.release(groups, deadline, successor);
    }
  }

  private ownedGroups(): string[] {
    const {claims} = this.context;
    return claims
      .all()
      .filter(claim => claims.isInEffect(claim))
      .map(claim => claim.group);
  }

  /**
   * Owned groups whose claim took effect long enough ago, so that a group is
   * not moved again right after a handover.
   */
  private stableGroups(): string[] {
    const {claims, clock, settings} = this.context;
    const cutoff = clock.monotonicNow() - settings.rebalanceStableMilliseconds;
    return this.ownedGroups().filter(
      group => (claims.find(group)?.effectiveAt ?? Infinity) <= cutoff,
    );
  }

  /** Hosts that have been eligible long enough for groups to move to them. */
  private stableHosts(): string[] {
    const {clock, process, settings} = this.context;
    const cutoff = clock.monotonicNow() - settings.rebalanceStableMilliseconds;
    return [...this.eligibleSince]
      .filter(([host, since]) => host === process || since <= cutoff)
      .map(([host]) => host);
  }
}
