import {type VotersView, VotersAnnounce} from '@cardamomfield/peer-protocol';
import {majorityInstant} from './majority_instant.js';
import type {OwnershipContext} from './ownership_context.js';
import type {OwnershipRecord} from './ownership_record.js';

/** Changes the set of voters by one host at a time. */
export class VoterMembership {
  private isLeaving = false;
  private votersOffset: number | undefined;
  private unchangedSince = 0;

  private constructor(private readonly context: OwnershipContext) {}

  static create(context: OwnershipContext): VoterMembership {
    return new VoterMembership(context);
  }

  /** Requests removal from the voters, for a host being decommissioned. */
  leave(): void {
    this.isLeaving = true;
    this.context.wakeup.wake();
  }

  /** Whether this process is in the confirmed or the proposed set. */
  isMember(): boolean {
    const {view, process} = this.context;
    const {members, pending} = view.voters();
    return members.includes(process) || (pending?.includes(process) ?? false);
  }

  async run(signal: AbortSignal): Promise<void> {
    const {clock, liveness, settings, wakeup} = this.context;
    this.unchangedSince = clock.monotonicNow();
    while (!signal.aborted) {
      liveness.detectPause();
      await this.step();
      const next =
        clock.monotonicNow() + settings.evaluationIntervalMilliseconds;
      await wakeup.waitUntil(next, signal);
    }
  }

  private async step(): Promise<void> {
    const {clock, stream} = this.context;
    if (!stream.isCaughtUp()) return;
    const {voters} = stream.state();
    if (voters.offset !== this.votersOffset) {
      this.votersOffset = voters.offset;
      this.unchangedSince = clock.monotonicNow();
    }
    if (voters.pending) {
      await this.confirm(voters);
      return;
    }
    const members = this.membersToPropose(voters);
    if (members) await this.propose(voters, members);
  }

  /** The set that this process would propose, if a change is needed. */
  private membersToPropose(voters: VotersView): string[] | undefined {
    const {clock, network, process, settings} = this.context;
    const unchangedFor = clock.monotonicNow() - this.unchangedSince;
    if (voters.members.length === 0) {
      // Waits for peers to connect. Otherwise the first set could be too small
      // to survive the loss of one host.
      if (unchangedFor < settings.silenceMilliseconds) return undefined;
      return [process, ...network.livePeers()];
    }
    if (!voters.members.includes(process)) {
      return this.isLeaving ? undefined : [...voters.members, process];
    }
    const rest = voters.members.filter(voter => voter !== process);
    if (this.isLeaving) return rest.length > 0 ? rest : undefined;
    return this.withoutSilentVoter(voters);
  }

  private withoutSilentVoter(voters: VotersView): string[] | undefined {
    const {liveness, process, settings} = this.context;
    const silent = voters.members.find(
      voter =>
        liveness.silence(voter) > settings.voterRemovalMilliseconds &&
        voter !== process,
    );
    const live = voters.members.filter(voter => !liveness.isSilent(voter));
    // Without a live majority the proposal would stay pending.
    if (!silent || live.length * 2 <= voters.members.length) return undefined;
    return voters.members.filter(voter => voter !== silent);
  }

  private async propose(voters: VotersView, members: string[]): Promise<void> {
    const {process} = this.context;
    await this.append({
      kind: 'voters-proposed',
      base: voters.version,
      members,
      process,
    });
  }

  /** Confirms the proposal once a majority of the old set has read it. */
  private async confirm(voters: VotersView): Promise<void> {
    if (!this.isOwnTurn(voters)) return;
    const readers = await this.announce(voters);
    const old = {...voters, pending: null};
    const instant = majorityInstant(old, voter =>
      readers.has(voter) ? 0 : -Infinity,
    );
    if (instant === -Infinity) return;
    await this.append({kind: 'voters-confirmed', proposal: voters.offset});
  }

  /** Staggers the processes by rank, so that few announce simultaneously. */
  private isOwnTurn(voters: VotersView): boolean {
    const {clock, process, ranking, settings} = this.context;
    const hosts = [...new Set([...voters.members, ...(voters.pending ?? [])])];
    const rank = ranking
      .rank(`voters-${voters.offset}`, hosts)
      .indexOf(process);
    if (rank < 0) return false;
    const turnAt =
      this.unchangedSince + rank * settings.callTimeoutMilliseconds;
    return clock.monotonicNow() >= turnAt;
  }

  /** Announces to all voters; returns those that read the record in the log. */
  private async announce(voters: VotersView): Promise<Set<string>> {
    const {clock, network, process, settings} = this.context;
    const readers = new Set([process]);
    const hosts = new Set([...voters.members, ...(voters.pending ?? [])]);
    hosts.delete(process);
    const deadline = clock.monotonicNow() + settings.callTimeoutMilliseconds;
    const calls = [...hosts].map(async voter => {
      const answer = await network.call(
        voter,
        VotersAnnounce,
        {voters},
        deadline,
      );
      answer.ifRight(({readOffset}) => {
        if (readOffset >= voters.offset) readers.add(voter);
      });
    });
    await Promise.all(calls);
    return readers;
  }

  private async append(record: OwnershipRecord): Promise<void> {
    const {clock, logger, settings, stream} = this.context;
    const deadline = clock.monotonicNow() + settings.appendTimeoutMilliseconds;
    const appended = await stream.append(record, deadline);
    appended.ifLeft(error => {
      logger.warn('append of voters record was not confirmed', {
        ...error.toJSON(),
      });
    });
  }
}
