import {ClaimAnnounce} from '@cardamomfield/peer-protocol';
import {majorityInstant} from './majority_instant.js';
import type {OwnClaim} from './own_claim.js';
import type {OwnershipContext} from './ownership_context.js';

/**
 * Makes the claims of this process take effect after they were read from the
 * log: announces them to the peers and waits for a majority of the voters.
 */
export class ClaimAnnouncer {
  private readonly announced = new Set<number>();
  private readonly tasks = new Set<Promise<void>>();

  private constructor(private readonly context: OwnershipContext) {}

  static create(context: OwnershipContext): ClaimAnnouncer {
    return new ClaimAnnouncer(context);
  }

  /** Announces each new claim record and reports claims that took effect. */
  async run(signal: AbortSignal): Promise<void> {
    const {claims, clock, settings, wakeup} = this.context;
    while (!signal.aborted) {
      this.startAnnouncements(signal);
      claims.reportGained();
      const latest =
        clock.monotonicNow() + settings.evaluationIntervalMilliseconds;
      await wakeup.waitUntil(
        Math.min(latest, claims.nextEffectiveAt()),
        signal,
      );
    }
    await Promise.all(this.tasks);
  }

  private startAnnouncements(signal: AbortSignal): void {
    const epochs = new Set(this.context.claims.all().map(claim => claim.epoch));
    for (const epoch of this.announced) {
      if (!epochs.has(epoch)) this.announced.delete(epoch);
    }
    for (const epoch of epochs) {
      if (this.announced.has(epoch)) continue;
      this.announced.add(epoch);
      const task = this.announce(epoch, signal);
      this.tasks.add(task);
      void task.finally(() => this.tasks.delete(task));
    }
  }

  /** Claims of the record at this epoch that are still the latest. */
  private claimsOf(epoch: number): OwnClaim[] {
    return this.context.claims.all().filter(claim => claim.epoch === epoch);
  }

  private async announce(epoch: number, signal: AbortSignal): Promise<void> {
    const {clock, settings} = this.context;
    const acknowledged = new Map<string, number>();
    let votersOffset: number | undefined;
    this.applyImmediateClaims(epoch);
    while (!signal.aborted && this.claimsOf(epoch).length > 0) {
      const voters = this.context.view.voters();
      if (voters.offset !== votersOffset) acknowledged.clear();
      votersOffset = voters.offset;
      const startedAt = clock.monotonicNow();
      await this.announceOnce(epoch, acknowledged);
      if (
        this.claimsOf(epoch).every(claim => claim.effectiveAt !== undefined)
      ) {
        break;
      }
      await clock.sleepUntil(
        startedAt + settings.evaluationIntervalMilliseconds,
        signal,
      );
    }
  }

  private applyImmediateClaims(epoch: number): void {
    const now = this.context.clock.monotonicNow();
    for (const claim of this.claimsOf(epoch)) {
      if (claim.isImmediate) claim.effectiveAt ??= now;
    }
    this.context.claims.reportGained();
  }

  private async announceOnce(
    epoch: number,
    acknowledged: Map<string, number>,
  ): Promise<void> {
    const {view, network, process} = this.context;
    const voters = view.voters();
    acknowledged.set(process, 0);
    this.scheduleEffectIfAcknowledged(epoch, voters.offset, acknowledged);
    const others = new Set([
      ...voters.members,
      ...(voters.pending ?? []),
      ...network.livePeers(),
    ]);
    others.delete(process);
    const calls = [...others]
      .filter(peer => !acknowledged.has(peer))
      .map(peer => this.announceTo(peer, epoch, voters.offset, acknowledged));
    await Promise.all(calls);
  }

  private async announceTo(
    peer: string,
    epoch: number,
    votersOffset: number,
    acknowledged: Map<string, number>,
  ): Promise<void> {
    const {clock, incarnation, view, network, process, settings} = this.context;
    const claims = this.claimsOf(epoch).map(({group, deputy}) => ({
      group,
      epoch,
      process,
      incarnation,
      deputy,
    }));
    const answer = await network.call(
      peer,
      ClaimAnnounce,
      {claims, votersOffset},
      clock.monotonicNow() + settings.callTimeoutMilliseconds,
    );
    answer.ifRight(result => {
      view.merge(result.claims, result.voters);
      if (result.voters || view.voters().offset !== votersOffset) return;
      acknowledged.set(peer, 0);
      this.scheduleEffectIfAcknowledged(epoch, votersOffset, acknowledged);
    });
  }

  /**
   * Sets the instant of effect once a majority has acknowledged. The wait lasts
   * until the authority of the previous owner must have expired.
   */
  private scheduleEffectIfAcknowledged(
    epoch: number,
    votersOffset: number,
    acknowledged: ReadonlyMap<string, number>,
  ): void {
    const {clock, view, settings, wakeup} = this.context;
    const voters = view.voters();
    if (voters.offset !== votersOffset) return;
    const instant = majorityInstant(
      voters,
      voter => acknowledged.get(voter) ?? -Infinity,
    );
    if (instant === -Infinity) return;
    const effectiveAt =
      clock.monotonicNow() +
      settings.authorityPeriodMilliseconds +
      settings.claimMarginMilliseconds;
    for (const claim of this.claimsOf(epoch)) claim.effectiveAt ??= effectiveAt;
    wakeup.wake();
  }
}
