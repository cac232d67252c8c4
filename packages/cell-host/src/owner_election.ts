import type {OwnerRecord, ShardLog} from '@cardamomfield/cell-model';
import type {Clock} from '@cardamomfield/clock';
import type {TypedError} from '@cardamomfield/errors';
import type {Logger} from '@cardamomfield/logger';
import {type ShardClaim, claimShard} from '@cardamomfield/shard-owner';
import type {Membership} from './membership.js';
import type {PeerClient} from './peer_client.js';
import {PeerMessages} from './peer_messages.js';
import {PeerMethod} from './peer_method.js';

/** Time between two pings of the owner. */
const PING_MILLISECONDS = 350;

/** A ping without an answer in this time has failed. */
const PING_TIMEOUT_MILLISECONDS = 700;

/** An owner that has not answered for this long may be replaced. */
const SILENCE_MILLISECONDS = 1_100;

/** A host that heard the owner within this span vouches for it. */
const VOUCH_MILLISECONDS = 900;

/** After a start, hosts first learn of an owner before they claim. */
const FIRST_CLAIM_MILLISECONDS = 350;

/** Claims are spread over this span, so that one host usually wins. */
const CLAIM_SPREAD_MILLISECONDS = 350;

/** An owner whose log is down for this long is replaced if that works. */
const OWNER_LOG_DOWN_MILLISECONDS = 2_000;

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
}

/**
 * Watches the shard's owner and claims the shard when nobody hears it. A claim
 * is safe at any time, since the log's epoch decides; the rules here only avoid
 * needless changes.
 */
export class OwnerElection {
  private readonly startedAt: number;
  private ownerLogDownSince: number | undefined;
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
      await clock.sleepUntil(clock.monotonicNow() + PING_MILLISECONDS);
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
      logger.warn('claim failed', {
        reason,
        cause: (result.extract() as TypedError).message,
        milliseconds,
      });
      return;
    }
    const claim = result.unsafeCoerce();
    logger.info('shard claimed', {
      reason,
      epoch: claim.owner.epoch,
      milliseconds,
    });
    membership.takeOwner(claim.owner);
    if (!this.isStopped) this.options.onClaimed(claim);
  }

  private async watchOnce(): Promise<void> {
    const {membership, clock, random} = this.options;
    const {owner} = membership;
    const isKnownLost = owner ? await this.isLost(owner) : this.isSettled();
    if (!isKnownLost) return;
    if (owner && (await this.isHeardByOthers(owner))) return;
    await clock.sleepUntil(
      clock.monotonicNow() + random() * CLAIM_SPREAD_MILLISECONDS,
    );
    if (membership.owner !== owner) return;
    await this.claim(
      owner ? `owner ${owner.hostName} is not heard` : 'no owner',
    );
  }

  private isSettled(): boolean {
    const {clock} = this.options;
    return clock.monotonicNow() - this.startedAt > FIRST_CLAIM_MILLISECONDS;
  }

  private async isLost(owner: OwnerRecord): Promise<boolean> {
    const {membership, peers, clock} = this.options;
    if (owner.incarnation === membership.self.incarnation) return true;
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
      return now - membership.heardOwnerAt > SILENCE_MILLISECONDS;
    }
    const answer = result.unsafeCoerce();
    membership.noteAnswer(owner.hostName);
    if (answer.owner) membership.takeOwner(answer.owner);
    if (answer.desiredStateVersion > this.options.desiredStateVersion()) {
      this.options.onNewerDesiredState(owner.address);
    }
    if (membership.owner !== owner) return false;
    if (!answer.isOwner) return true;
    membership.heardOwnerAt = now;
    return this.isLogDownTooLong(answer.isLogDown, now);
  }

  private isLogDownTooLong(isLogDown: boolean, now: number): boolean {
    if (!isLogDown) {
      this.ownerLogDownSince = undefined;
      return false;
    }
    this.ownerLogDownSince ??= now;
    return now - this.ownerLogDownSince > OWNER_LOG_DOWN_MILLISECONDS;
  }

  /** Asks the others whether they hear the owner; one that does is enough. */
  private async isHeardByOthers(owner: OwnerRecord): Promise<boolean> {
    const {membership, peers} = this.options;
    if (this.ownerLogDownSince !== undefined) return false;
    const others = membership
      .answeringPeers()
      .filter(host => host.name !== owner.hostName);
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
          return false;
        }
        const answer = result.unsafeCoerce();
        return (
          answer.epoch >= owner.epoch &&
          answer.heardMillisecondsAgo < VOUCH_MILLISECONDS
        );
      }),
    );
    return answers.some(Boolean);
  }
}
