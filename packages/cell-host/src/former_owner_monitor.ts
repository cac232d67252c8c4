import type {HostRecord, OwnerRecord} from '@cardamomfield/cell-model';
import type {Clock} from '@cardamomfield/clock';
import type {Logger} from '@cardamomfield/logger';
import type {FormerOwners} from '@cardamomfield/shard-owner';
import {HostRanking} from './host_ranking.js';
import type {Membership} from './membership.js';
import type {PeerClient} from './peer_client.js';
import {PeerMessages} from './peer_messages.js';
import {PeerMethod} from './peer_method.js';

/** Interval at which a former owner is asked until it has answered. */
const ASK_INTERVAL_MILLISECONDS = 250;

const ASK_TIMEOUT_MILLISECONDS = 400;

/** After this time the leases of a former owner have ended in any case. */
const ASK_MILLISECONDS = 15_000;

/** Number of hosts, first in claiming order, that ask former owners. */
const CANDIDATE_COUNT = 8;

interface FormerOwnerMonitorOptions {
  membership: Membership;
  peers: PeerClient;
  clock: Clock;
  logger: Logger;
  isOwner: () => boolean;
  /**
   * Monotonic times of the last grants of leases under epochs that this process
   * owned and does not own any more.
   */
  endedOwnerships: ReadonlyMap<number, number>;
}

/**
 * Finds out when former owners granted their last leases. The next owner needs
 * to know, and so does each host that may become the owner after it.
 */
export class FormerOwnerMonitor implements FormerOwners {
  /** Latest possible times of the last grants, by epoch. */
  private readonly lastGrants = new Map<number, number>();
  private readonly ranking = HostRanking.create();
  private isStopped = false;

  private constructor(private readonly options: FormerOwnerMonitorOptions) {}

  static create(options: FormerOwnerMonitorOptions): FormerOwnerMonitor {
    return new FormerOwnerMonitor(options);
  }

  get epochs(): readonly number[] {
    return this.options.membership.knownOwners.map(({owner}) => owner.epoch);
  }

  replacedAt(epoch: number): number {
    const {knownOwners} = this.options.membership;
    const next = knownOwners.find(({owner}) => owner.epoch > epoch);
    return next?.learnedAt ?? Infinity;
  }

  lastGrantAt(epoch: number): number | undefined {
    return (
      this.options.endedOwnerships.get(epoch) ?? this.lastGrants.get(epoch)
    );
  }

  async run(): Promise<void> {
    const {clock} = this.options;
    while (!this.isStopped) {
      const nextAt = clock.monotonicNow() + ASK_INTERVAL_MILLISECONDS;
      await Promise.all(this.ownersToAsk().map(owner => this.ask(owner)));
      await clock.sleepUntil(nextAt);
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  private ownersToAsk(): OwnerRecord[] {
    const {membership, clock, isOwner} = this.options;
    const {knownOwners} = membership;
    this.forgetOldGrants();
    const since = clock.monotonicNow() - ASK_MILLISECONDS;
    const pending = knownOwners
      .slice(0, -1)
      .map(({owner}) => owner)
      .filter(
        ({epoch}) =>
          this.lastGrantAt(epoch) === undefined &&
          this.replacedAt(epoch) > since,
      );
    if (pending.length === 0) return [];
    return isOwner() || this.isCandidate() ? pending : [];
  }

  private forgetOldGrants(): void {
    const {epochs} = this;
    for (const epoch of this.lastGrants.keys()) {
      if (!epochs.includes(epoch)) this.lastGrants.delete(epoch);
    }
  }

  /** Whether this host is one of those that claim the next epoch first. */
  private isCandidate(): boolean {
    const {membership} = this.options;
    const hosts: HostRecord[] = [
      membership.self,
      ...membership.responsivePeers(),
    ];
    return this.ranking
      .rank(hosts, membership.owner?.epoch ?? 0)
      .slice(0, CANDIDATE_COUNT)
      .some(({name}) => name === membership.self.name);
  }

  /** Asks the process that now listens at a former owner's address. */
  private async ask(former: OwnerRecord): Promise<void> {
    const {membership, peers, clock} = this.options;
    // One process runs on a host at a time, and this one has never owned it.
    if (former.address === membership.self.address) {
      if (former.incarnation !== membership.self.incarnation) {
        this.note(former, clock.monotonicNow());
      }
      return;
    }
    const result = await peers.call(
      former.address,
      PeerMethod.ping,
      {},
      PeerMessages.pingResult,
      ASK_TIMEOUT_MILLISECONDS,
    );
    if (result.isLeft()) return;
    const answer = result.unsafeCoerce();
    const now = clock.monotonicNow();
    if (answer.incarnation === undefined) return;
    if (answer.incarnation !== former.incarnation) {
      // One process listens at an address, so the former owner's has ended.
      this.note(former, now);
      return;
    }
    const ended = answer.endedOwnerships?.find(
      ({epoch}) => epoch === former.epoch,
    );
    if (ended) this.note(former, now - ended.lastGrantMillisecondsAgo);
    else if (answer.isOwner) this.announceOwner(former);
  }

  /** Tells a process that still takes itself for the owner of its successor. */
  private announceOwner(former: OwnerRecord): void {
    const {membership, peers} = this.options;
    void peers.call(
      former.address,
      PeerMethod.ownerUpdate,
      {owner: membership.owner},
      PeerMessages.empty,
      ASK_TIMEOUT_MILLISECONDS,
    );
  }

  private note({epoch, hostName}: OwnerRecord, lastGrantAt: number): void {
    const {logger, clock} = this.options;
    this.lastGrants.set(epoch, lastGrantAt);
    logger.info('former owner grants no more leases', {
      owner: hostName,
      epoch,
      lastGrantMillisecondsAgo: Math.round(clock.monotonicNow() - lastGrantAt),
    });
  }
}
