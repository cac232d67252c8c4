import {
  type HostRecord,
  OwnerRecord,
  type ShardLog,
} from '@cardamomfield/cell-model';
import type {Clock} from '@cardamomfield/clock';
import {ConflictError, type TypedError} from '@cardamomfield/errors';
import type {Logger} from '@cardamomfield/logger';
import {type ShardClaim, claimShard} from '@cardamomfield/shard-owner';
import type {z} from 'zod';
import {CANDIDATE_COUNT} from './candidate_count.js';
import {HostRanking} from './host_ranking.js';
import type {Membership} from './membership.js';
import type {PeerClient} from './peer_client.js';
import {PeerMessages} from './peer_messages.js';
import {PeerMethod} from './peer_method.js';

/** Time between two pings of the owner by a candidate. */
const PING_INTERVAL_MILLISECONDS = 250;

/** Interval at which any other host checks the owner. */
const NON_CANDIDATE_INTERVAL_MILLISECONDS = 800;

/**
 * Maximum number of hosts that are asked about a silent owner. In a large cell
 * more would add thousands of calls a second while it is under stress.
 */
const MAXIMUM_CONFIRMING_HOSTS = 6;

/**
 * A host whose calls no other host answers claims only after this long, because
 * it is more likely to be slow itself than to be the last one alive.
 */
const ISOLATION_MILLISECONDS = 2_000;

/**
 * Time limit for a ping of the owner. An owner that answers within it is slow
 * and not gone: another host would be as slow under the same load.
 */
const OWNER_PING_TIMEOUT_MILLISECONDS = 900;

/** Time limit for a question to a host that does not own the shard. */
const PEER_TIMEOUT_MILLISECONDS = 400;

/** An owner that has not answered for this long may be replaced. */
const OWNER_SILENCE_MILLISECONDS = 700;

/** Changes of the owner within this time count as recent. */
const OWNER_CHANGE_SPAN_MILLISECONDS = 12_000;

/** The silence that a claim requires is doubled at most this often. */
const MAXIMUM_DOUBLINGS = 2;

/** A host that had contact with the owner within this time confirms it. */
const RECENT_CONTACT_MILLISECONDS = OWNER_PING_TIMEOUT_MILLISECONDS;

/** After its start a host waits this long to discover an existing owner. */
const START_DELAY_MILLISECONDS = 350;

/** Hosts claim one after the other, since a claim takes about this long. */
const CLAIM_STAGGER_MILLISECONDS = 200;

/** Maximum delay of a claim, without jitter. */
const MAXIMUM_STAGGER_MILLISECONDS = 1_000;

/** Jitter of the delay: hosts that know different peers may rank equal. */
const CLAIM_JITTER_MILLISECONDS = 60;

/**
 * Another host tries to replace an owner whose log is down for this long. The
 * owner reaches the store through any peer and resumes after an outage by
 * itself, so this is longer than usual outages.
 */
const OWNER_LOG_DOWN_MILLISECONDS = 10_000;

interface OwnerElectionOptions {
  membership: Membership;
  peers: PeerClient;
  log: ShardLog;
  clock: Clock;
  logger: Logger;
  shard: string;
  random: () => number;
  isOwner: () => boolean;
  onNewerDesiredState: (address: string) => void;
  desiredStateVersion: () => number;
  onClaimed: (claim: ShardClaim) => void;
  /** Called when this host holds the epoch but could not read the records. */
  onUnfinishedClaim: () => void;
}

/**
 * Monitors the shard's owner and claims the shard when no host has contact with
 * the owner. A claim is safe at any time, since the epoch in the log decides
 * which host is the owner. The rules here only avoid needless changes.
 */
export class OwnerElection {
  private readonly startedAt: number;
  private readonly ranking = HostRanking.create();
  private ownerLogDownSince: number | undefined;
  /** Monotonic time since which no host has answered; undefined otherwise. */
  private isolatedSince: number | undefined;
  /** Why the last ping that failed did so, for the log. */
  private lastPingFailure = '';
  /** Answers of the hosts that were last asked about the owner, for the log. */
  private lastPeerAnswers = '';
  /**
   * Known epoch at the last claim that lost to a newer owner. Peers and the
   * directory name that owner as a rule; the log is read for it only when they
   * have not done so by the next claim.
   */
  private lostClaimEpoch: number | undefined;
  private isStopped = false;
  private isClaiming = false;

  private constructor(private readonly options: OwnerElectionOptions) {
    this.startedAt = options.clock.monotonicNow();
  }

  static create(options: OwnerElectionOptions): OwnerElection {
    return new OwnerElection(options);
  }

  async run(): Promise<void> {
    const {clock, isOwner} = this.options;
    while (!this.isStopped) {
      if (!isOwner()) await this.checkOwner();
      await clock.sleepUntil(clock.monotonicNow() + this.pingInterval());
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Claims the shard now, on request or because no owner responds. */
  async claim(reason: string): Promise<void> {
    const {membership, log, clock, logger, shard} = this.options;
    if (this.isClaiming || this.isStopped || this.options.isOwner()) return;
    this.isClaiming = true;
    const startedAt = clock.monotonicNow();
    const claimant: OwnerRecord = {
      shard,
      epoch: membership.owner?.epoch ?? 0,
      leasesBoundedSince: membership.owner?.leasesBoundedSince,
      hostName: membership.self.name,
      address: membership.self.address,
      incarnation: membership.self.incarnation,
    };
    const result = await claimShard({
      log,
      clock,
      claimant,
      random: this.options.random,
      readsNewerOwner: this.lostClaimEpoch === claimant.epoch,
    });
    this.isClaiming = false;
    const milliseconds = Math.round(clock.monotonicNow() - startedAt);
    if (result.isLeft()) {
      const error = result.extract() as TypedError;
      logger.warn('claim failed', {reason, cause: error.message, milliseconds});
      if (error instanceof ConflictError) this.lostClaimEpoch = claimant.epoch;
      const newer = OwnerRecord.safeParse(error.details.owner);
      if (newer.success) membership.updateOwner(newer.data, 'news');
      if (error.details.isUnfinished === true) this.options.onUnfinishedClaim();
      return;
    }
    const claim = result.unsafeCoerce();
    logger.info('shard claimed', {
      reason,
      epoch: claim.owner.epoch,
      milliseconds,
    });
    membership.updateOwner(claim.owner, 'news');
    if (!this.isStopped) this.options.onClaimed(claim);
  }

  /** Candidates check often, the others less, to limit the owner's load. */
  private pingInterval(): number {
    const isCandidate = this.rank() < CANDIDATE_COUNT;
    return isCandidate || !this.options.membership.owner
      ? PING_INTERVAL_MILLISECONDS
      : NON_CANDIDATE_INTERVAL_MILLISECONDS;
  }

  private async checkOwner(): Promise<void> {
    const {membership, clock, random} = this.options;
    const {owner} = membership;
    if (owner) {
      if (await this.isConfirmedByCandidate(owner)) return;
      if (await this.isAlive(owner)) return;
    } else if (!this.isStartDelayOver()) {
      return;
    }
    const silenceDetectedAt = clock.monotonicNow();
    const claimDelay = Math.min(
      this.rank() * CLAIM_STAGGER_MILLISECONDS,
      MAXIMUM_STAGGER_MILLISECONDS,
    );
    const claimAt =
      silenceDetectedAt + claimDelay + random() * CLAIM_JITTER_MILLISECONDS;
    this.options.logger.warn('claim of the shard scheduled', {
      owner: owner?.hostName,
      epoch: owner?.epoch,
      silenceMilliseconds: Math.round(
        silenceDetectedAt - membership.lastOwnerContactAt,
      ),
      limitMilliseconds: this.silenceLimit(),
      pingFailure: this.lastPingFailure,
      peerAnswers: this.lastPeerAnswers,
      rank: this.rank(),
      delayMilliseconds: claimDelay,
    });
    // After a long delay the last ping is outdated, so another one is sent.
    await Promise.all([
      owner && claimDelay > PEER_TIMEOUT_MILLISECONDS
        ? this.pingOwner(owner)
        : undefined,
      clock.sleepUntil(claimAt),
    ]);
    if (membership.owner !== owner) return;
    if (owner && membership.lastOwnerContactAt > silenceDetectedAt) return;
    await this.claim(
      owner ? `owner ${owner.hostName} does not respond` : 'no owner',
    );
  }

  /**
   * A host that is not a candidate asks a candidate instead of the owner, whose
   * load would otherwise grow with the number of hosts.
   */
  private async isConfirmedByCandidate(owner: OwnerRecord): Promise<boolean> {
    const {membership, peers, clock, random} = this.options;
    const claimants = this.rankedClaimants(owner);
    const candidates = claimants.slice(0, CANDIDATE_COUNT);
    if (candidates.some(({name}) => name === membership.self.name)) {
      return false;
    }
    const candidate = candidates[Math.floor(random() * candidates.length)];
    if (!candidate) return false;
    const result = await peers.call(
      candidate.address,
      PeerMethod.ownerContact,
      this.pingParameters(),
      PeerMessages.ownerContactResult,
      PEER_TIMEOUT_MILLISECONDS,
    );
    if (result.isLeft()) {
      membership.markUnresponsive(candidate.name);
      return false;
    }
    this.isolatedSince = undefined;
    const answer = result.unsafeCoerce();
    if (answer.owner) membership.updateOwner(answer.owner, 'news');
    this.noteDesiredState(answer.desiredStateVersion, candidate.address);
    if (membership.owner !== owner) return true;
    if (
      answer.epoch !== owner.epoch ||
      answer.heardMillisecondsAgo > RECENT_CONTACT_MILLISECONDS
    ) {
      return false;
    }
    const contactAt = clock.monotonicNow() - answer.heardMillisecondsAgo;
    membership.lastOwnerContactAt = Math.max(
      membership.lastOwnerContactAt,
      contactAt,
    );
    return true;
  }

  private async isAlive(owner: OwnerRecord): Promise<boolean> {
    // After a restart of all hosts the known owner has ended. The owner and the
    // peers are called in parallel, since calls to hosts that are not back yet
    // run into the time limit.
    const peerConfirmation =
      this.options.membership.lastOwnerContactAt === -Infinity
        ? this.isConfirmedByPeers(owner)
        : undefined;
    const ownerStatus = await this.pingOwner(owner);
    if (ownerStatus !== 'silent') return ownerStatus === 'alive';
    return peerConfirmation ?? this.isConfirmedByPeers(owner);
  }

  private pingParameters(): z.infer<typeof PeerMessages.ping> {
    return {
      desiredStateVersion: this.options.desiredStateVersion(),
      address: this.options.membership.self.address,
    };
  }

  private noteDesiredState(version: number, address: string): void {
    if (version > this.options.desiredStateVersion()) {
      this.options.onNewerDesiredState(address);
    }
  }

  /** Records whether any host answered; true while this one may be at fault. */
  private mayBeIsolated(isAnswered: boolean): boolean {
    if (isAnswered) {
      this.isolatedSince = undefined;
      return false;
    }
    const now = this.options.clock.monotonicNow();
    this.isolatedSince ??= now;
    return now - this.isolatedSince < ISOLATION_MILLISECONDS;
  }

  /**
   * Position of this host in the order in which hosts claim the next epoch. The
   * host is last after a claim of its own that it could not finish.
   */
  private rank(): number {
    const {owner, self} = this.options.membership;
    const claimants = this.rankedClaimants(owner);
    const place = claimants.findIndex(({name}) => name === self.name);
    return place < 0 ? claimants.length : place;
  }

  /** All hosts except the owner, in the order in which they claim. */
  private rankedClaimants(owner: OwnerRecord | undefined): HostRecord[] {
    const {membership} = this.options;
    const hosts = [membership.self, ...membership.responsivePeers()].filter(
      host => host.incarnation !== owner?.incarnation,
    );
    return this.ranking.rank(hosts, owner?.epoch ?? 0);
  }

  private isStartDelayOver(): boolean {
    const {clock} = this.options;
    return clock.monotonicNow() - this.startedAt > START_DELAY_MILLISECONDS;
  }

  /**
   * `gone`: the process ended, does not own the shard, or its log was down for
   * too long. `silent`: it has not answered within the silence limit, which may
   * be a fault of this host.
   */
  private async pingOwner(
    owner: OwnerRecord,
  ): Promise<'alive' | 'silent' | 'gone'> {
    const {membership, peers, clock} = this.options;
    if (owner.incarnation === membership.self.incarnation) return 'gone';
    const result = await peers.call(
      owner.address,
      PeerMethod.ping,
      this.pingParameters(),
      PeerMessages.pingResult,
      this.pingTimeout(),
    );
    const now = clock.monotonicNow();
    if (result.isLeft()) {
      this.lastPingFailure = (result.extract() as TypedError).message;
      membership.markUnresponsive(owner.hostName);
      // A refused connection means that the process has ended.
      if ((result.extract() as TypedError).details.isRefused === true) {
        return 'gone';
      }
      const silence = now - membership.lastOwnerContactAt;
      return silence > this.silenceLimit() ? 'silent' : 'alive';
    }
    this.isolatedSince = undefined;
    const answer = result.unsafeCoerce();
    membership.markResponsive(owner.hostName);
    if (answer.owner) membership.updateOwner(answer.owner, 'news');
    this.noteDesiredState(answer.desiredStateVersion, owner.address);
    if (membership.owner !== owner) return 'alive';
    if (!answer.isOwner) return 'gone';
    membership.recordOwnerContact(owner);
    return this.isLogDownTooLong(answer.isLogDown, now) ? 'gone' : 'alive';
  }

  /**
   * Notes a call of the owner. It is no contact while the owner's log is down
   * for too long, so that such an owner is replaced even if it answers no ping.
   */
  receiveHeartbeat({
    epoch,
    isLogDown,
  }: z.infer<typeof PeerMessages.heartbeat>): void {
    const {membership, clock} = this.options;
    if (this.isLogDownTooLong(isLogDown, clock.monotonicNow())) return;
    membership.recordHeartbeat(epoch);
  }

  /**
   * Each recent change of the owner doubles the silence that the next change
   * requires. A new owner polls all workers and catches up on waiting work, so
   * it answers late for some seconds; so would the owner after it.
   */
  private silenceLimit(): number {
    const {membership, clock} = this.options;
    const since = clock.monotonicNow() - OWNER_CHANGE_SPAN_MILLISECONDS;
    const changes = membership.ownerChangesSince(since);
    const doublings = Math.min(MAXIMUM_DOUBLINGS, changes);
    return OWNER_SILENCE_MILLISECONDS * 2 ** doublings;
  }

  /** A repeated ping lasts until the silence is long enough for a claim. */
  private pingTimeout(): number {
    const {membership, clock} = this.options;
    const silence = clock.monotonicNow() - membership.lastOwnerContactAt;
    if (silence < OWNER_PING_TIMEOUT_MILLISECONDS || silence === Infinity) {
      return OWNER_PING_TIMEOUT_MILLISECONDS;
    }
    return Math.min(
      OWNER_PING_TIMEOUT_MILLISECONDS,
      Math.max(PEER_TIMEOUT_MILLISECONDS, this.silenceLimit() - silence),
    );
  }

  private isLogDownTooLong(isLogDown: boolean, now: number): boolean {
    if (!isLogDown) {
      this.ownerLogDownSince = undefined;
      return false;
    }
    this.ownerLogDownSince ??= now;
    return now - this.ownerLogDownSince > OWNER_LOG_DOWN_MILLISECONDS;
  }

  /**
   * Asks other hosts whether they had recent contact with the owner; one is
   * enough. Also true while none of them answers, for a limited time.
   */
  private async isConfirmedByPeers(owner: OwnerRecord): Promise<boolean> {
    const {membership, peers} = this.options;
    // Hosts that claim first ping the owner most often. If all hosts are marked
    // as unresponsive, they are asked all the same, since this host may have
    // been slow itself.
    const {self} = membership;
    const answering = this.rankedClaimants(owner).filter(
      ({name}) => name !== self.name,
    );
    const known = membership
      .peers()
      .filter(({incarnation}) => incarnation !== owner.incarnation);
    const others = (
      answering.length > 0 ? answering : this.ranking.rank(known, owner.epoch)
    ).slice(0, MAXIMUM_CONFIRMING_HOSTS);
    const answers = await Promise.all(
      others.map(async host => {
        const result = await peers.call(
          host.address,
          PeerMethod.ownerContact,
          this.pingParameters(),
          PeerMessages.ownerContactResult,
          PEER_TIMEOUT_MILLISECONDS,
        );
        if (result.isLeft()) {
          membership.markUnresponsive(host.name);
          const {details} = result.extract() as TypedError;
          return details.isRefused === true ? 'gone' : 'silent';
        }
        const answer = result.unsafeCoerce();
        if (answer.owner) membership.updateOwner(answer.owner, 'news');
        this.noteDesiredState(answer.desiredStateVersion, host.address);
        const hasRecentContact =
          answer.epoch >= owner.epoch &&
          answer.heardMillisecondsAgo < RECENT_CONTACT_MILLISECONDS;
        return hasRecentContact ? 'hears' : 'does-not-hear';
      }),
    );
    this.lastPeerAnswers = answers.join(' ');
    if (answers.includes('hears')) return true;
    const isAnswered = answers.some(answer => answer !== 'silent');
    return others.length > 0 && this.mayBeIsolated(isAnswered);
  }
}
