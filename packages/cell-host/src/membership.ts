import type {HostRecord, OwnerRecord} from '@cardamomfield/cell-model';
import type {Clock} from '@cardamomfield/clock';
import type {Logger} from '@cardamomfield/logger';

/** A host that did not answer counts as unresponsive for this long. */
const UNRESPONSIVE_HOST_MILLISECONDS = 3_000;

/** Owner changes kept in the history. */
const MAXIMUM_OWNER_CHANGES = 8;

/** Processes that have left and are not added again by late news of them. */
const MAXIMUM_LEFT = 256;

/** Owners kept in the history; their leases end within seconds. */
const MAXIMUM_OWNERS = 16;

/**
 * Heartbeats count as contact for this long without an answer. An owner that
 * sends calls and answers none cannot serve requests.
 */
const HEARTBEATS_ONLY_MILLISECONDS = 10_000;

/** An owner, and when this process learned of its claim. */
interface KnownOwner {
  owner: OwnerRecord;
  /** Monotonic time. */
  learnedAt: number;
}

/** The other hosts and the newest shard owner known to this host. */
export class Membership {
  private readonly hosts = new Map<string, HostRecord>();
  private readonly unresponsiveUntil = new Map<string, number>();
  /** Incarnations of hosts that have left, in the order in which they did. */
  private readonly left = new Set<string>();
  private newestOwner: OwnerRecord | undefined;
  /**
   * Monotonic time at which the owner last answered or sent a heartbeat;
   * -Infinity if never.
   */
  lastOwnerContactAt = -Infinity;
  /** Monotonic time since which the owner has sent heartbeats and no answer. */
  private heartbeatsOnlySince: number | undefined;
  /** Monotonic times of the last changes of the owner, oldest first. */
  private ownerChanges: number[] = [];
  /** The last known owners, by ascending epoch. */
  private owners: KnownOwner[] = [];

  private constructor(
    readonly self: HostRecord,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly onOwnerChange: (owner: OwnerRecord) => void,
  ) {}

  static create(
    self: HostRecord,
    clock: Clock,
    logger: Logger,
    onOwnerChange: (owner: OwnerRecord) => void = () => undefined,
  ): Membership {
    return new Membership(self, clock, logger, onOwnerChange);
  }

  get owner(): OwnerRecord | undefined {
    return this.newestOwner;
  }

  updateHost(host: HostRecord): void {
    if (host.name === this.self.name || this.left.has(host.incarnation)) return;
    const known = this.hosts.get(host.name);
    if (host.isLeaving) {
      this.removeHost(host, known);
      return;
    }
    this.hosts.set(host.name, host);
    if (known?.incarnation !== host.incarnation) {
      this.unresponsiveUntil.delete(host.name);
      this.logger.info('host added or restarted', {
        peer: host.name,
        address: host.address,
        incarnation: host.incarnation,
      });
    }
  }

  /** Forgets a host, unless another process runs there by now. */
  private removeHost(host: HostRecord, known: HostRecord | undefined): void {
    this.left.add(host.incarnation);
    const [oldest] = this.left;
    if (oldest !== undefined && this.left.size > MAXIMUM_LEFT) {
      this.left.delete(oldest);
    }
    if (known?.incarnation !== host.incarnation) return;
    this.hosts.delete(host.name);
    this.unresponsiveUntil.delete(host.name);
    this.logger.info('host left', {
      peer: host.name,
      incarnation: host.incarnation,
    });
  }

  /**
   * Stores the owner if its epoch is higher than the known one; older records
   * are ignored. A hint, from the directory or an introduction, is no evidence
   * that the owner is alive: it may be older than this process.
   */
  updateOwner(owner: OwnerRecord, source: 'news' | 'hint'): void {
    const known = this.newestOwner;
    if (known && known.epoch >= owner.epoch) return;
    this.newestOwner = owner;
    const learnedAt = this.clock.monotonicNow();
    this.owners = [...this.owners, {owner, learnedAt}].slice(-MAXIMUM_OWNERS);
    // The first owner that this process learns of replaces none.
    if (known) {
      const changes = [...this.ownerChanges, this.clock.monotonicNow()];
      this.ownerChanges = changes.slice(-MAXIMUM_OWNER_CHANGES);
    }
    this.lastOwnerContactAt =
      source === 'news' ? this.clock.monotonicNow() : -Infinity;
    this.heartbeatsOnlySince = undefined;
    this.logger.info('shard owner updated', {
      owner: owner.hostName,
      epoch: owner.epoch,
    });
    this.onOwnerChange(owner);
  }

  /** The last owners that this process has learned of, by ascending epoch. */
  get knownOwners(): readonly KnownOwner[] {
    return this.owners;
  }

  /** Records an answer of the owner; answers of former owners are ignored. */
  recordOwnerContact(owner: OwnerRecord): void {
    if (this.newestOwner !== owner) return;
    this.lastOwnerContactAt = this.clock.monotonicNow();
    this.heartbeatsOnlySince = undefined;
  }

  /** Records a heartbeat of the owner of an epoch, unless that is replaced. */
  recordHeartbeat(epoch: number): void {
    if (this.newestOwner?.epoch !== epoch) return;
    const now = this.clock.monotonicNow();
    this.heartbeatsOnlySince ??= now;
    if (now - this.heartbeatsOnlySince < HEARTBEATS_ONLY_MILLISECONDS) {
      this.lastOwnerContactAt = now;
    }
  }

  /** Number of owner changes since a monotonic time. */
  ownerChangesSince(time: number): number {
    return this.ownerChanges.filter(changedAt => changedAt >= time).length;
  }

  markUnresponsive(hostName: string): void {
    const until = this.clock.monotonicNow() + UNRESPONSIVE_HOST_MILLISECONDS;
    this.unresponsiveUntil.set(hostName, until);
  }

  markResponsive(hostName: string): void {
    this.unresponsiveUntil.delete(hostName);
  }

  /** All other hosts. */
  peers(): HostRecord[] {
    return [...this.hosts.values()];
  }

  /** Other hosts that are not marked as unresponsive. */
  responsivePeers(): HostRecord[] {
    const now = this.clock.monotonicNow();
    return this.peers().filter(
      host => (this.unresponsiveUntil.get(host.name) ?? 0) <= now,
    );
  }
}
