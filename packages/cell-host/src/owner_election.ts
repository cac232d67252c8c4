import {
  type HostRecord,
  OwnerRecord,
  type ShardLog,
} from '@cardamomfield/cell-model';
import type {Clock} from '@cardamomfield/clock';
import type {TypedError} from '@cardamomfield/errors';
import type {Logger} from '@cardamomfield/logger';
import {type ShardClaim, claimShard} from '@cardamomfield/shard-owner';
import {HostRanking} from './host_ranking.js';
import type {Membership} from './membership.js';
import type {PeerClient} from './peer_client.js';
import {PeerMessages} from './peer_messages.js';
import {PeerMethod} from './peer_method.js';

/** Time between two pings of the owner. */
const PING_MILLISECONDS = 250;

/** Hosts that ping the owner at the short interval. */
const CANDIDATE_COUNT = 8;

/** Time between two questions of any other host about the owner. */
const DISTANT_PING_MILLISECONDS = 800;

/**
 * Hosts that are asked about a silent owner. More would be thousands of calls a
 * second in a large cell, just when it has none to spare.
 */
const WITNESS_COUNT = 6;

/**
 * A host whose questions nobody answers is more often slow itself than the last
 * one alive: it claims only after this long.
 */
const ALONE_MILLISECONDS = 2_000;

/** A ping without an answer in this time has failed. */
const PING_TIMEOUT_MILLISECONDS = 400;

/** An owner that has not answered for this long may be replaced. */
const SILENCE_MILLISECONDS = 700;

/** Changes of the owner within this span count as near to each other. */
const OWNER_CHANGE_SPAN_MILLISECONDS = 12_000;

/** The silence that a claim needs is doubled at most this often. */
const MAXIMUM_DOUBLINGS = 2;

/** A host that heard the owner within this span vouches for it. */
const VOUCH_MILLISECONDS = 600;

/** After a start, hosts first learn of an owner before they claim. */
const FIRST_CLAIM_MILLISECONDS = 350;

/** Hosts claim one after the other; a claim takes about this long. */
const CLAIM_TURN_MILLISECONDS = 200;

/** Longest wait of a host for its turn to claim. */
const LONGEST_TURN_MILLISECONDS = 1_000;

/** Turns are blurred by this much, since hosts may know different peers. */
const TURN_JITTER_MILLISECONDS = 60;

/**
 * An owner whose log is down for this long is replaced if that works. It
 * reaches the store through any peer, so this is longer than usual outages,
 * after which it goes on by itself.
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
 * Watches the shard's owner and claims the shard when nobody hears it. A claim
 * is safe at any time, since the log's epoch decides; the rules here only avoid
 * needless changes.
 */
export class OwnerElection {
  private readonly startedAt: number;
  private readonly ranking = HostRanking.create();
  private ownerLogDownSince: number | undefined;
  /** Monotonic time since which no host answers this one. */
  private aloneSince: number | undefined;
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
      if (!isOwner()) await this.watchOnce();
      await clock.sleepUntil(clock.monotonicNow() + this.pingPause());
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Claims the shard now; the owner asked for it or nobody hears the owner. */
  async claim(reason: string): Promise<void> {
    const {membership, log, clock, logger, shard} = this.options;
    if (this.isClaiming || this.isStopped || this.options.isOwner()) return;
    this.isClaiming = true;
    const startedAt = clock.monotonicNow();
    const claimant: OwnerRecord = {
      shard,
      epoch: membership.owner?.epoch ?? 0,
      hostName: membership.self.name,
      address: membership.self.address,
      incarnation: membership.self.incarnation,
    };
    const result = await claimShard({
      log,
      clock,
      claimant,
      random: this.options.random,
    });
    this.isClaiming = false;
    const milliseconds = Math.round(clock.monotonicNow() - startedAt);
    if (result.isLeft()) {
      const error = result.extract() as TypedError;
      logger.warn('claim failed', {reason, cause: error.message, milliseconds});
      const newer = OwnerRecord.safeParse(error.details.owner);
      if (newer.success) membership.takeOwner(newer.data, 'news');
      if (error.details.isUnfinished === true) this.options.onUnfinishedClaim();
      return;
    }
    const claim = result.unsafeCoerce();
    logger.info('shard claimed', {
      reason,
      epoch: claim.owner.epoch,
      milliseconds,
    });
    membership.takeOwner(claim.owner, 'news');
    if (!this.isStopped) this.options.onClaimed(claim);
  }

  /** Hosts that claim first watch closely; the others spare the owner. */
  private pingPause(): number {
    const isCandidate = this.rank() < CANDIDATE_COUNT;
    return isCandidate || !this.options.membership.owner
      ? PING_MILLISECONDS
      : DISTANT_PING_MILLISECONDS;
  }

  private async watchOnce(): Promise<void> {
    const {membership, clock, random} = this.options;
    const {owner} = membership;
    if (owner) {
      if (await this.isVouchedFor(owner)) return;
      if (await this.isAlive(owner)) return;
    } else if (!this.isSettled()) {
      return;
    }
    const silentAt = clock.monotonicNow();
    const turn = Math.min(
      this.rank() * CLAIM_TURN_MILLISECONDS,
      LONGEST_TURN_MILLISECONDS,
    );
    const turnAt = silentAt + turn + random() * TURN_JITTER_MILLISECONDS;
    // What this host saw of the owner is old by the end of a long turn.
    await Promise.all([
      owner && turn > PING_TIMEOUT_MILLISECONDS ? this.look(owner) : undefined,
      clock.sleepUntil(turnAt),
    ]);
    if (membership.owner !== owner) return;
    if (owner && membership.heardOwnerAt > silentAt) return;
    await this.claim(
      owner ? `owner ${owner.hostName} is not heard` : 'no owner',
    );
  }

  /**
   * A host that is no candidate asks one of them instead of the owner, whose
   * load would grow with the cell otherwise.
   */
  private async isVouchedFor(owner: OwnerRecord): Promise<boolean> {
    const {membership, peers, clock, random} = this.options;
    const ranked = this.ranked(owner);
    const candidates = ranked.slice(0, CANDIDATE_COUNT);
    if (candidates.some(({name}) => name === membership.self.name)) {
      return false;
    }
    const asked = candidates[Math.floor(random() * candidates.length)];
    if (!asked) return false;
    const result = await peers.call(
      asked.address,
      PeerMethod.hears,
      {},
      PeerMessages.hearsResult,
      PING_TIMEOUT_MILLISECONDS,
    );
    if (result.isLeft()) {
      membership.noteSilent(asked.name);
      return false;
    }
    this.aloneSince = undefined;
    const answer = result.unsafeCoerce();
    if (answer.owner) membership.takeOwner(answer.owner, 'news');
    if (answer.desiredStateVersion > this.options.desiredStateVersion()) {
      this.options.onNewerDesiredState(asked.address);
    }
    if (membership.owner !== owner) return true;
    if (
      answer.epoch !== owner.epoch ||
      answer.heardMillisecondsAgo > VOUCH_MILLISECONDS
    ) {
      return false;
    }
    const heardAt = clock.monotonicNow() - answer.heardMillisecondsAgo;
    membership.heardOwnerAt = Math.max(membership.heardOwnerAt, heardAt);
    return true;
  }

  private async isAlive(owner: OwnerRecord): Promise<boolean> {
    // After a start of all hosts the known owner is gone: both questions are
    // asked at once, since hosts that are not back yet do not answer.
    const others =
      this.options.membership.heardOwnerAt === -Infinity
        ? this.isHeardByOthers(owner)
        : undefined;
    const signs = await this.look(owner);
    if (signs !== 'silent') return signs === 'alive';
    return others ?? this.isHeardByOthers(owner);
  }

  /** Notes whether any host answers; true while this one may be at fault. */
  private mayBeCutOff(isAnswered: boolean): boolean {
    if (isAnswered) {
      this.aloneSince = undefined;
      return false;
    }
    const now = this.options.clock.monotonicNow();
    this.aloneSince ??= now;
    return now - this.aloneSince < ALONE_MILLISECONDS;
  }

  /**
   * Place of this host in the order in which hosts claim the next epoch. It is
   * the last one after a claim of its own that it could not finish.
   */
  private rank(): number {
    const {owner, self} = this.options.membership;
    const ranked = this.ranked(owner);
    const place = ranked.findIndex(({name}) => name === self.name);
    return place < 0 ? ranked.length : place;
  }

  /** All hosts but the owner in the order in which they claim. */
  private ranked(owner: OwnerRecord | undefined): HostRecord[] {
    const {membership} = this.options;
    const hosts = [membership.self, ...membership.answeringPeers()].filter(
      host => host.incarnation !== owner?.incarnation,
    );
    return this.ranking.rank(hosts, owner?.epoch ?? 0);
  }

  private isSettled(): boolean {
    const {clock} = this.options;
    return clock.monotonicNow() - this.startedAt > FIRST_CLAIM_MILLISECONDS;
  }

  /**
   * `gone`: the process ended or lost the shard; `silent`: it has not answered
   * for long, which may be this host's own trouble.
   */
  private async look(owner: OwnerRecord): Promise<'alive' | 'silent' | 'gone'> {
    const {membership, peers, clock} = this.options;
    if (owner.incarnation === membership.self.incarnation) return 'gone';
    const result = await peers.call(
      owner.address,
      PeerMethod.ping,
      {},
      PeerMessages.pingResult,
      PING_TIMEOUT_MILLISECONDS,
    );
    const now = clock.monotonicNow();
    if (result.isLeft()) {
      membership.noteSilent(owner.hostName);
      // A refused connection means that the process is gone.
      if ((result.extract() as TypedError).details.isRefused === true) {
        return 'gone';
      }
      const silence = now - membership.heardOwnerAt;
      return silence > this.silenceLimit() ? 'silent' : 'alive';
    }
    this.aloneSince = undefined;
    const answer = result.unsafeCoerce();
    membership.noteAnswer(owner.hostName);
    if (answer.owner) membership.takeOwner(answer.owner, 'news');
    if (answer.desiredStateVersion > this.options.desiredStateVersion()) {
      this.options.onNewerDesiredState(owner.address);
    }
    if (membership.owner !== owner) return 'alive';
    if (!answer.isOwner) return 'gone';
    membership.heardOwnerAt = now;
    return this.isLogDownTooLong(answer.isLogDown, now) ? 'gone' : 'alive';
  }

  /**
   * Each change of the owner within a short time doubles the silence that the
   * next one needs: an owner that answers late under load is no better off on
   * another host, and each takeover adds load.
   */
  private silenceLimit(): number {
    const {membership, clock} = this.options;
    const since = clock.monotonicNow() - OWNER_CHANGE_SPAN_MILLISECONDS;
    const changes = membership.ownerChangesSince(since);
    const doublings = Math.min(MAXIMUM_DOUBLINGS, Math.max(0, changes - 1));
    return SILENCE_MILLISECONDS * 2 ** doublings;
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
   * Asks the others whether they hear the owner; one that does is enough. True
   * as well while none of them answers, for a time.
   */
  private async isHeardByOthers(owner: OwnerRecord): Promise<boolean> {
    const {membership, peers} = this.options;
    // Hosts that claim first watch the owner most closely. Where none answers,
    // all are asked again, since this host may have been slow itself.
    const {self} = membership;
    const answering = this.ranked(owner).filter(({name}) => name !== self.name);
    const known = membership
      .peers()
      .filter(({incarnation}) => incarnation !== owner.incarnation);
    const others = (
      answering.length > 0 ? answering : this.ranking.rank(known, owner.epoch)
    ).slice(0, WITNESS_COUNT);
    const answers = await Promise.all(
      others.map(async host => {
        const result = await peers.call(
          host.address,
          PeerMethod.hears,
          {},
          PeerMessages.hearsResult,
          PING_TIMEOUT_MILLISECONDS,
        );
        if (result.isLeft()) {
          membership.noteSilent(host.name);
          const {details} = result.extract() as TypedError;
          return details.isRefused === true ? 'gone' : 'silent';
        }
        const answer = result.unsafeCoerce();
        const hears =
          answer.epoch >= owner.epoch &&
          answer.heardMillisecondsAgo < VOUCH_MILLISECONDS;
        return hears ? 'hears' : 'does-not-hear';
      }),
    );
    if (answers.includes('hears')) return true;
    const isAnswered = answers.some(answer => answer !== 'silent');
    return others.length > 0 && this.mayBeCutOff(isAnswered);
  }
}
