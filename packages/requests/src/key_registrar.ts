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

/** Time for one host to list its keys. */
const LIST_TIMEOUT_MILLISECONDS = 2_000;

/** Pause between tries to rebuild a partition. */
const REBUILD_PAUSE_MILLISECONDS = 250;

/** Registrations between two sweeps for expired entries. */
const SWEEP_INTERVAL = 10_000;

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
  isComplete: boolean;
  entries: Map<string, KeyRegistration>;
}

/**
 * Decides which entry host coordinates the request of a key, for the
 * partitions that this process owns. A new owner rebuilds a partition from
 * all hosts before it decides on a key it does not know.
 */
export class KeyRegistrar {
  private readonly partitions = new Map<string, Partition>();
  private registrationsUntilSweep = SWEEP_INTERVAL;

  private constructor(private readonly options: KeyRegistrarOptions) {}

  static create(options: KeyRegistrarOptions): KeyRegistrar {
    const registrar = new KeyRegistrar(options);
    options.network.handle(REGISTER_KEY, (_peer, registration) =>
      Promise.resolve(registrar.register(registration)),
    );
    return registrar;
  }

  /** Starts deciding for a partition; call it when ownership is gained. */
  gain(name: string, epoch: number): void {
    const partition = {epoch, isComplete: false, entries: new Map()};
    this.partitions.set(name, partition);
    void this.rebuild(name, partition);
  }

  /** Stops deciding for a partition; call it when ownership is lost. */
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
    this.sweepSometimes();
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

  /** Asks all hosts until every worker group is accounted for. */
  private async rebuild(name: string, partition: Partition): Promise<void> {
    const {clock, logger} = this.options;
    while (this.partitions.get(name) === partition) {
      const isComplete = await this.collect(name, partition);
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

  private async collect(name: string, partition: Partition): Promise<boolean> {
    const {network, clock, groups} = this.options;
    const deadline = clock.monotonicNow() + LIST_TIMEOUT_MILLISECONDS;
    const hosts = [network.self, ...network.livePeers()];
    const covered = new Set<string>();
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
          Right: ({registrations, groups: read}) => {
            this.adopt(partition, registrations);
            read.forEach(group => covered.add(group));
          },
        });
      }),
    );
    return isComplete && groups().every(group => covered.has(group));
  }

  private adopt(
    partition: Partition,
    registrations: readonly KeyRegistration[],
  ): void {
    for (const registration of registrations) {
      const known = partition.entries.get(registration.key);
      // A task found on a worker has no body hash and names the coordinator
      // that started it; a living coordinator may have adopted it since.
      if (known && known.bodyHash !== '') continue;
      partition.entries.set(registration.key, registration);
    }
  }

  private sweepSometimes(): void {
    this.registrationsUntilSweep -= 1;
    if (this.registrationsUntilSweep > 0) return;
    this.registrationsUntilSweep = SWEEP_INTERVAL;
    const now = this.options.clock.wallNow();
    for (const partition of this.partitions.values()) {
      for (const [key, entry] of partition.entries) {
        if (entry.expiresAt <= now) partition.entries.delete(key);
      }
    }
  }
}
