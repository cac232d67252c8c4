import type {OwnerCandidates} from './owner_candidates.js';
import type {GroupHandover} from './group_handover.js';
import type {OwnClaim} from './own_claim.js';
import type {OwnershipContext} from './ownership_context.js';
import type {OwnershipRecord} from './ownership_record.js';

type ReleaseRecord = Extract<OwnershipRecord, {kind: 'release'}>;

/** Releases groups: ends authority, transfers their state, appends records. */
export class GroupRelease {
  private handover: GroupHandover | undefined;

  private constructor(
    private readonly context: OwnershipContext,
    private readonly candidates: OwnerCandidates,
  ) {}

  static create(
    context: OwnershipContext,
    candidates: OwnerCandidates,
  ): GroupRelease {
    return new GroupRelease(context, candidates);
  }

  setHandover(handover: GroupHandover): void {
    this.handover = handover;
  }

  /**
   * Ends authority, transfers the state and appends the release. Groups whose
   * claim has not taken effect are skipped: the previous owner may still hold
   * authority, and the claim after a release takes effect without a wait.
   */
  async release(
    groups: readonly string[],
    deadline: number,
    successor?: string,
  ): Promise<string[]> {
    const {claims} = this.context;
    const held = groups
      .map(group => claims.find(group))
      .filter(claim => claim !== undefined)
      .filter(claim => claims.isInEffect(claim));
    for (const claim of held) {
      claims.stop(claim);
      claim.isTransferring = true;
    }
    const claimsBySuccessor = this.groupBySuccessor(held, successor);
    await Promise.all(
      [...claimsBySuccessor].map(([next, list]) =>
        this.transfer(list, next, deadline),
      ),
    );
    for (const claim of held) claim.isTransferring = false;
    await this.appendReleases(claimsBySuccessor, deadline);
    return held.map(claim => claim.group);
  }

  /** Appends releases of stopped claims that did not reach the log before. */
  async retry(deadline: number): Promise<void> {
    const now = this.context.clock.monotonicNow();
    const stopped = this.context.claims
      .all()
      .filter(claim => claim.isStopped && !claim.isTransferring)
      .filter(claim => (claim.effectiveAt ?? Infinity) <= now);
    if (stopped.length === 0) return;
    await this.appendReleases(this.groupBySuccessor(stopped), deadline);
  }

  private groupBySuccessor(
    held: readonly OwnClaim[],
    successor?: string,
  ): Map<string | null, OwnClaim[]> {
    const result = new Map<string | null, OwnClaim[]>();
    const hosts = this.candidates.eligibleHosts();
    for (const claim of held) {
      const next = successor ?? this.nextOwner(claim.group, hosts);
      result.set(next, [...(result.get(next) ?? []), claim]);
    }
    return result;
  }

  private nextOwner(group: string, hosts: string[]): string | null {
    const ranked = this.candidates.rankHosts(group, hosts);
    return ranked.find(host => host !== this.context.process) ?? null;
  }

  private async transfer(
    claims: readonly OwnClaim[],
    successor: string | null,
    deadline: number,
  ): Promise<void> {
    if (!this.handover || successor === null) return;
    const {clock, logger} = this.context;
    const finished = new AbortController();
    const transfer = this.handover
      .transfer(claims, successor, deadline)
      .catch(error => {
        logger.warn('transfer of group state failed', {
          successor,
          error: String(error),
        });
      })
      .finally(() => finished.abort());
    await Promise.race([transfer, clock.sleepUntil(deadline, finished.signal)]);
  }

  private async appendReleases(
    claimsBySuccessor: ReadonlyMap<string | null, OwnClaim[]>,
    deadline: number,
  ): Promise<void> {
    const {incarnation, logger, metrics, process, stream} = this.context;
    const groups = [...claimsBySuccessor].flatMap(([successor, claims]) =>
      claims.map(({group, epoch}) => ({group, epoch, successor})),
    );
    if (groups.length === 0) return;
    const record: ReleaseRecord = {
      kind: 'release',
      process,
      incarnation,
      groups,
    };
    const appended = await stream.append(record, deadline);
    appended
      .ifRight(() => metrics.increment('ownership.releases', groups.length))
      .ifLeft(error => {
        logger.warn('append of release record was not confirmed', {
          ...error.toJSON(),
        });
      });
  }
}
