import type {HostRecord, OwnerRecord} from '@cardamomfield/cell-model';
import type {Clock} from '@cardamomfield/clock';
import type {Logger} from '@cardamomfield/logger';

/** A host that did not answer is asked last for this long. */
const SILENT_HOST_MILLISECONDS = 3_000;

/** Changes of the owner that are remembered. */
const REMEMBERED_CHANGES = 8;

/** The other hosts and the newest owner that this host has heard of. */
export class Membership {
  private readonly hosts = new Map<string, HostRecord>();
  private readonly silentUntil = new Map<string, number>();
  private newestOwner: OwnerRecord | undefined;
  /** Monotonic time at which the owner last answered; -Infinity if never. */
  heardOwnerAt = -Infinity;
  /** Monotonic times of the last changes of the owner, oldest first. */
  private ownerChanges: number[] = [];

  private constructor(
    readonly self: HostRecord,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  static create(self: HostRecord, clock: Clock, logger: Logger): Membership {
    return new Membership(self, clock, logger);
  }

  get owner(): OwnerRecord | undefined {
    return this.newestOwner;
  }

  takeHost(host: HostRecord): void {
    if (host.name === this.self.name) return;
    const known = this.hosts.get(host.name);
    this.hosts.set(host.name, host);
    if (known?.incarnation !== host.incarnation) {
      this.silentUntil.delete(host.name);
      this.logger.info('host learned', {
        host: host.name,
        address: host.address,
      });
    }
  }

  /**
   * Keeps the owner with the highest epoch; late records change nothing. A
   * hint does not tell that the owner is alive: it may be older than this
   * process.
   */
  takeOwner(owner: OwnerRecord, source: 'news' | 'hint'): void {
    const known = this.newestOwner;
    if (known && known.epoch >= owner.epoch) return;
    this.newestOwner = owner;
    const changes = [...this.ownerChanges, this.clock.monotonicNow()];
    this.ownerChanges = changes.slice(-REMEMBERED_CHANGES);
    this.heardOwnerAt =
      source === 'news' ? this.clock.monotonicNow() : -Infinity;
    this.logger.info('owner learned', {
      owner: owner.hostName,
      epoch: owner.epoch,
    });
  }

  /** The owner has answered a call as such; answers of former ones are late. */
  noteOwnerAnswer(owner: OwnerRecord): void {
    if (this.newestOwner !== owner) return;
    this.heardOwnerAt = this.clock.monotonicNow();
  }

  /** How often the owner changed since a monotonic time. */
  ownerChangesSince(time: number): number {
    return this.ownerChanges.filter(changedAt => changedAt >= time).length;
  }

  noteSilent(hostName: string): void {
    const until = this.clock.monotonicNow() + SILENT_HOST_MILLISECONDS;
    this.silentUntil.set(hostName, until);
  }

  noteAnswer(hostName: string): void {
    this.silentUntil.delete(hostName);
  }

  /** All other hosts. */
  peers(): HostRecord[] {
    return [...this.hosts.values()];
  }

  /** Other hosts that did not fail to answer recently. */
  answeringPeers(): HostRecord[] {
    const now = this.clock.monotonicNow();
    return this.peers().filter(
      host => (this.silentUntil.get(host.name) ?? 0) <= now,
    );
  }
}
