import {
  OwnerRecord,
  type WorkerDescription,
  type WorkerLink,
} from '@cardamomfield/cell-model';
import type {ManualClock, RandomSource} from '@cardamomfield/clock';
import {SilentLogger} from '@cardamomfield/logger';
import {MemoryMetrics} from '@cardamomfield/metrics';
import {
  FencingSequence,
  ShardOwner,
  claimShard,
} from '@cardamomfield/shard-owner';
import {PausableClock} from './pausable_clock.js';
import type {HostOverrides} from './host_overrides.js';
import {MemoryCellLink} from './memory_cell_link.js';
import type {MemoryCellWorker} from './memory_cell_worker.js';
import {MemoryShardLog} from './memory_shard_log.js';
import type {MemoryShardStore} from './memory_shard_store.js';
import type {AnnouncedOwner} from './announced_owner.js';
import {SimulatedFormerOwners} from './simulated_former_owners.js';

/** Longest time until a new owner gets its first list of workers. */
const FIRST_LIST_MILLISECONDS = 1_500;

/** Key of the record that names the shard's owner. */
const OWNER_KEY = 'o';

/** Time until another host learns of a claim. */
const ANNOUNCEMENT_MILLISECONDS = 100;

/** Interval at which a host reads the list of workers. */
const DIRECTORY_POLL_MILLISECONDS = 250;

const TIMING = {
  maximumLeaseMilliseconds: 10_000,
  stopMilliseconds: 100,
  gangWaitMilliseconds: 3_000,
  keepEndedMilliseconds: 600_000,
};

/** Difference between the epochs of two consecutive owners. */
const EPOCHS_PER_TERM = FencingSequence.nextEpoch(0);

const LIMITS = {
  recordBytes: 262_144,
  requestBytes: 2_097_152,
  memoryBytes: 90_000_000,
};

interface SimulatedOwnerHostOptions {
  name: string;
  store: MemoryShardStore;
  workers: ReadonlyMap<string, MemoryCellWorker>;
  virtualClock: ManualClock;
  random: RandomSource;
  overrides: HostOverrides;
}

/** Simulated host that can own the shard, with injectable faults. */
export class SimulatedOwnerHost {
  readonly clock: PausableClock;
  readonly log: MemoryShardLog;
  readonly faults = new Map<
    string,
    {isPartitioned: boolean; delayProbability: number}
  >();
  owner: ShardOwner | undefined;
  /** Number of crashes. */
  kills = 0;
  private incarnation = 0;
  private formerOwners: SimulatedFormerOwners;
  private killedAt = -Infinity;
  private isClaiming = false;

  private constructor(private readonly options: SimulatedOwnerHostOptions) {
    const {virtualClock, store, random, workers} = options;
    this.clock = PausableClock.create(virtualClock);
    this.log = MemoryShardLog.create(store, virtualClock, this.clock, random);
    for (const id of workers.keys()) {
      this.faults.set(id, {isPartitioned: false, delayProbability: 0});
    }
    this.formerOwners = SimulatedFormerOwners.create(virtualClock, this.clock);
    store.announcements.follow(owner => void this.receive(owner));
  }

  static create(options: SimulatedOwnerHostOptions): SimulatedOwnerHost {
    return new SimulatedOwnerHost(options);
  }

  /** Number of changes of the owner up to this host's ownership. */
  get term(): number {
    return (this.owner?.epoch ?? 0) / EPOCHS_PER_TERM;
  }

  /** Claims the shard with the epoch that follows the given term. */
  async claim(term: number): Promise<void> {
    const {name, random} = this.options;
    const {adviser, logger, stopMilliseconds} = this.options.overrides;
    if (this.owner || this.isClaiming) return;
    this.isClaiming = true;
    const incarnation = ++this.incarnation;
    const log = this.options.overrides.wrapLog?.(this.log) ?? this.log;
    const epoch = term * EPOCHS_PER_TERM;
    const {newest} = this.options.store.announcements;
    if (newest?.epoch === epoch) this.formerOwners.learn(newest);
    const claim = await claimShard({
      log,
      clock: this.clock,
      claimant: {
        shard: 'cell-0',
        epoch,
        hostName: name,
        address: name,
        incarnation: `${name}-${incarnation}`,
        leasesBoundedSince: this.leasesBoundedSince(epoch),
      },
      random: () => random.fraction(),
      readsNewerOwner: true,
    });
    this.isClaiming = false;
    if (claim.isLeft() || incarnation !== this.incarnation) return;
    const formerOwners = this.formerOwners;
    const owner = ShardOwner.create({
      claim: claim.unsafeCoerce(),
      formerOwners:
        this.options.overrides.wrapFormerOwners?.(formerOwners) ?? formerOwners,
      log,
      links: {open: worker => this.open(worker)},
      directory: {
        follow: (onChange, signal) => this.followWorkers(onChange, signal),
      },
      adviceChannels: () => (adviser ? [{hostName: name, adviser}] : []),
      clock: this.clock,
      logger: logger ?? SilentLogger.create(),
      metrics: MemoryMetrics.create(),
      timing: {...TIMING, ...(stopMilliseconds && {stopMilliseconds})},
      limits: {...LIMITS, ...this.options.overrides.limits},
      policies: {
        refusesUnderLoad: this.options.overrides.refusesUnderLoad ?? false,
        ordersByObjective: false,
        judgesWorkers: true,
        farPlacePenalty: this.options.overrides.farPlacePenalty ?? 1,
      },
      desiredState: () => this.options.overrides.desiredState?.(name),
      random: () => this.options.random.fraction(),
      onLost: () => {
        if (this.owner === owner) this.owner = undefined;
      },
    });
    this.owner = owner;
    this.announce(owner);
    void owner.run();
  }

  /** As the record of the owner with an epoch states it in the log. */
  private leasesBoundedSince(epoch: number): number | undefined {
    const records = this.options.store.read();
    const record = records.find(({key}) => key === OWNER_KEY);
    if (!record) return undefined;
    const owner = OwnerRecord.parse(JSON.parse(record.value));
    return owner.epoch === epoch ? owner.leasesBoundedSince : undefined;
  }

  private announce(owner: ShardOwner): void {
    const {kills} = this;
    const announced: AnnouncedOwner = {
      epoch: owner.epoch,
      owner,
      clock: this.clock,
      crashedAt: () => (this.kills === kills ? undefined : this.killedAt),
    };
    this.formerOwners.learn(announced);
    this.options.store.announcements.announce(announced);
  }

  private async receive(owner: AnnouncedOwner): Promise<void> {
    const {virtualClock} = this.options;
    await virtualClock.sleepUntil(
      virtualClock.monotonicNow() + ANNOUNCEMENT_MILLISECONDS,
    );
    await this.clock.whenRunning();
    this.formerOwners.learn(owner);
  }

  /** Simulates a crash: the next process starts without any state. */
  kill(): void {
    const {virtualClock, store} = this.options;
    this.kills++;
    this.incarnation++;
    this.killedAt = virtualClock.monotonicNow();
    // The next process learns of the newest owner only.
    this.formerOwners = SimulatedFormerOwners.create(virtualClock, this.clock);
    const {newest} = store.announcements;
    if (newest) this.formerOwners.learn(newest);
    this.owner?.stop();
    this.owner = undefined;
  }

  clearFaults(): void {
    this.clock.resume();
    this.log.isPartitioned = false;
    this.log.lossProbability = 0;
    this.log.answerMilliseconds = 0;
    for (const fault of this.faults.values()) {
      fault.isPartitioned = false;
      fault.delayProbability = 0;
    }
  }

  private open(description: WorkerDescription): WorkerLink {
    const {workers, virtualClock, random, overrides} = this.options;
    const worker = workers.get(description.id);
    if (!worker) throw new RangeError(description.id);
    const faults = this.faults.get(worker.id) ?? {
      isPartitioned: false,
      delayProbability: 0,
    };
    this.faults.set(worker.id, faults);
    const link = MemoryCellLink.create(
      worker,
      faults,
      virtualClock,
      this.clock,
      random,
      overrides.sendsOverdueCalls,
    );
    return overrides.wrapLink?.(link) ?? link;
  }

  private async followWorkers(
    onChange: (id: string, worker: WorkerDescription | undefined) => void,
    signal: AbortSignal,
  ): Promise<void> {
    const delay = this.options.random.integerBelow(FIRST_LIST_MILLISECONDS);
    await this.clock.sleepUntil(this.clock.monotonicNow() + delay, signal);
    const present = new Set<string>();
    while (!signal.aborted) {
      for (const [id, worker] of this.options.workers) {
        if (worker.isListed && (worker.isUp || worker.isEntryRetained)) {
          present.add(id);
          onChange(id, worker.describe());
        } else if (!worker.isListed && present.delete(id)) {
          onChange(id, undefined);
        }
      }
      await this.clock.sleepUntil(
        this.clock.monotonicNow() + DIRECTORY_POLL_MILLISECONDS,
        signal,
      );
    }
  }
}
