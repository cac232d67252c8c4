import type {Clock} from '@cardamomfield/clock';
import {type TypedError, UnavailableError} from '@cardamomfield/errors';
import type {Logger} from '@cardamomfield/logger';
import {
  type KeyRegistration,
  LIST_KEYS,
  type PeerNetwork,
  REGISTER_KEY,
} from '@cardamomfield/peer-protocol';
import {type Either, Left, Right} from 'purify-ts';
import {KeyPartitions} from './key_partitions.js';
import type {OwnershipView} from './ownership_view.js';

/** Timeout for a host to list its keys. */
const LIST_TIMEOUT_MILLISECONDS = 2_000;

/** Pause between attempts to rebuild a partition. */
const REBUILD_PAUSE_MILLISECONDS = 250;

/** Number of registrations between two removals of expired entries. */
const REGISTRATIONS_PER_SWEEP = 10_000;

interface KeyRegistrarOptions {
  network: PeerNetwork;
  ownership: OwnershipView;
  clock: Clock;
  logger: Logger;
  /** Names of all worker groups of the configuration. */
  groups: () => readonly string[];
}

/** The registrations of one partition under one epoch. */
interface Partition {
  epoch: number;
  /** Whether the rebuild has covered all live hosts and all worker groups. */
  isComplete: boolean;
  entries: Map<string, KeyRegistration>;
}

/**
 * Decides which entry host coordinates the request with a key, for the
 * partitions that this process owns. A new owner rebuilds a partition from all
 * live hosts before it accepts a key that is not yet registered.
 */
export class KeyRegistrar {
  private readonly partitions = new Map<string, Partition>();
  private registrationsUntilSweep = REGISTRATIONS_PER_SWEEP;

  private constructor(private readonly options: KeyRegistrarOptions) {}

  static create(options: KeyRegistrarOptions): KeyRegistrar {
    const registrar = new KeyRegistrar(options);
    options.network.handle(REGISTER_KEY, (_peer, registration) =>
      Promise.resolve(registrar.register(registration)),
    );
    return registrar;
  }

  /** Starts serving a partition whose ownership was gained. */
  gain(name: string, epoch: number): void {
    const partition = {epoch, isComplete: false, entries: new Map()};
    this.partitions.set(name, partition);
    void this.rebuild(name, partition);
  }

  /** Stops serving a partition whose ownership was lost. */
  lose(name: string): void {
    this.partitions.delete(name);
  }

  private register(
    registration: KeyRegistration,
  ): Either<TypedError, {winner: KeyRegistration; epoch: number}> {
    const name = KeyPartitions.of(registration.key);
    const partition = this.partitions.get(name);
    const authority = this.options.ownership.authority(name);
    const isOwner = authority?.isHeld() && authority.epoch === partition?.epoch;
    if (!partition || !isOwner) {
      return Left(UnavailableError.create(`not the registrar of ${name}`));
    }
    const winner = this.winnerOf(partition, registration);
    if (!winner) {
      return Left(UnavailableError.create(`${name} is being rebuilt`));
    }
    this.sweepPeriodically();
    return Right({winner, epoch: partition.epoch});
  }

  private winnerOf(
    partition: Partition,
    registration: KeyRegistration,
  ): KeyRegistration | undefined {
    const known = this.liveEntry(partition, registration.key);
    if (known && known.coordinatorIncarnation !== registration.replaces) {
      return known;
    }
    if (!known && !partition.isComplete) return undefined;
    partition.entries.set(registration.key, registration);
    return registration;
  }

  private liveEntry(
    partition: Partition,
    key: string,
  ): KeyRegistration | undefined {
    const known = partition.entries.get(key);
    if (!known || known.expiresAt <= this.options.clock.wallNow()) {
      return undefined;
    }
    return known;
  }

  /**
   * Collects registrations until one round has an answer from every live host
   * and covers every worker group.
   */
  private async rebuild(name: string, partition: Partition): Promise<void> {
    const {clock, logger} = this.options;
    while (this.partitions.get(name) === partition) {
      const isComplete = await this.collectRegistrations(name, partition);
      if (isComplete) {
        partition.isComplete = true;
        logger.debug('key partition rebuilt', {
          partition: name,
          keys: partition.entries.size,
        });
        return;
      }
      await clock.sleepUntil(clock.monotonicNow() + REBUILD_PAUSE_MILLISECONDS);
    }
  }

  private async collectRegistrations(
    name: string,
    partition: Partition,
  ): Promise<boolean> {
    const {network, clock, groups} = this.options;
    const deadline = clock.monotonicNow() + LIST_TIMEOUT_MILLISECONDS;
    const hosts = [network.self, ...network.livePeers()];
    const coveredGroups = new Set<string>();
    let isComplete = true;
    await Promise.all(
      hosts.map(async host => {
        const answer = await network.call(
          host,
          LIST_KEYS,
          {partition: name},
          deadline,
        );
        answer.caseOf({
          Left: () => {
            isComplete = false;
          },
          Right: ({registrations, groups: readGroups}) => {
            this.mergeRegistrations(partition, registrations);
            readGroups.forEach(group => coveredGroups.add(group));
          },
        });
      }),
    );
    return isComplete && groups().every(group => coveredGroups.has(group));
  }

  private mergeRegistrations(
    partition: Partition,
    registrations: readonly KeyRegistration[],
  ): void {
    for (const registration of registrations) {
      const known = partition.entries.get(registration.key);
      // A registration made from a task on a worker has no body hash and names
      // the coordinator that started the task. A live coordinator may have
      // adopted the request since, so its registration takes precedence.
      if (known && known.bodyHash !== '') continue;
      partition.entries.set(registration.key, registration);
    }
  }

  private sweepPeriodically(): void {
    this.registrationsUntilSweep -= 1;
    if (this.registrationsUntilSweep > 0) return;
    this.registrationsUntilSweep = REGISTRATIONS_PER_SWEEP;
    const now = this.options.clock.wallNow();
    for (const partition of this.partitions.values()) {
      for (const [key, entry] of partition.entries) {
        if (entry.expiresAt <= now) partition.entries.delete(key);
      }
    }
  }
}
