import {ClaimAnnounce} from '@cardamomfield/peer-protocol';
import {majorityStamp} from './majority_stamp.js';
import type {OwnClaim} from './own_claim.js';
import type {OwnershipContext} from './ownership_context.js';

/** Makes the claims that were read take effect. */
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
      await wakeup.waitUntil(Math.min(latest, claims.nextEffectAt()), signal);
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

  /** The claims of one record that are still the latest. */
  private ofRecord(epoch: number): OwnClaim[] {
    return this.context.claims.all().filter(claim => claim.epoch === epoch);
  }

  private async announce(epoch: number, signal: AbortSignal): Promise<void> {
    const {clock, settings} = this.context;
    const acknowledged = new Map<string, number>();
    let votersOffset: number | undefined;
    this.startImmediate(epoch);
    while (!signal.aborted && this.ofRecord(epoch).length > 0) {
      const voters = this.context.knowledge.voters();
      if (voters.offset !== votersOffset) acknowledged.clear();
      votersOffset = voters.offset;
      const startedAt = clock.monotonicNow();
      await this.announceOnce(epoch, acknowledged);
      if (this.ofRecord(epoch).every(claim => claim.effectAt !== undefined)) {
        break;
      }
      await clock.sleepUntil(
        startedAt + settings.evaluationIntervalMilliseconds,
        signal,
      );
    }
  }

  private startImmediate(epoch: number): void {
    const now = this.context.clock.monotonicNow();
    for (const claim of this.ofRecord(epoch)) {
      if (claim.isImmediate) claim.effectAt ??= now;
    }
    this.context.claims.reportGained();
  }

  private async announceOnce(
    epoch: number,
    acknowledged: Map<string, number>,
  ): Promise<void> {
    const {knowledge, network, process} = this.context;
    const voters = knowledge.voters();
    acknowledged.set(process, 0);
    this.startIfAcknowledged(epoch, voters.offset, acknowledged);
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
    const {clock, incarnation, knowledge, network, process, settings} =
      this.context;
    const claims = this.ofRecord(epoch).map(({group, deputy}) => ({
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
      knowledge.learn(result.claims, result.voters);
      if (result.voters || knowledge.voters().offset !== votersOffset) return;
      acknowledged.set(peer, 0);
      this.startIfAcknowledged(epoch, votersOffset, acknowledged);
    });
  }

  /** Starts the wait once a majority has acknowledged. */
  private startIfAcknowledged(
    epoch: number,
    votersOffset: number,
    acknowledged: ReadonlyMap<string, number>,
  ): void {
    const {clock, knowledge, settings, wakeup} = this.context;
    const voters = knowledge.voters();
    if (voters.offset !== votersOffset) return;
    const stamp = majorityStamp(
      voters,
      voter => acknowledged.get(voter) ?? -Infinity,
    );
    if (stamp === -Infinity) return;
    const effectAt =
      clock.monotonicNow() +
      settings.authorityPeriodMilliseconds +
      settings.claimMarginMilliseconds;
    for (const claim of this.ofRecord(epoch)) claim.effectAt ??= effectAt;
    wakeup.wake();
  }
}
