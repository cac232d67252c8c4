import {SeededRandomSource} from '@cardamomfield/clock';
import {type FollowedStream, LogFollower} from '@cardamomfield/log-follower';
import {SilentLogger} from '@cardamomfield/logger';
import {MemoryMetrics} from '@cardamomfield/metrics';
import {
  OwnershipFold,
  OwnershipManager,
  type OwnershipSettings,
  type OwnershipState,
} from '@cardamomfield/ownership';
import type {PeerNetwork} from '@cardamomfield/peer-protocol';
import {Timeline} from '@cardamomfield/timeline';
import {SimulatedClock} from './simulated_clock.js';
import type {SimulatedLife} from './simulated_life.js';
import type {SimulatedLinks} from './simulated_links.js';
import type {SimulatedLog} from './simulated_log.js';
import {SimulatedLogClient} from './simulated_log_client.js';
import {SimulatedNetwork} from './simulated_network.js';
import type {SimulatedWorld} from './simulated_world.js';

interface SimulatedHostOptions {
  world: SimulatedWorld;
  log: SimulatedLog;
  links: SimulatedLinks;
  name: string;
  groups: readonly string[];
  settings: Partial<OwnershipSettings>;
  /** Replaces the stream; for faulty collaborators. */
  wrapStream: (
    stream: FollowedStream<OwnershipState>,
    clock: SimulatedClock,
  ) => FollowedStream<OwnershipState>;
  /** Replaces the network; for faulty collaborators. */
  wrapNetwork: (network: PeerNetwork, clock: SimulatedClock) => PeerNetwork;
}

/** Largest deviation of a clock's rate. */
const MAXIMUM_DRIFT = 0.01;

/** Well above the hosts, each of which may write a snapshot at once. */
const SNAPSHOT_AFTER_RECORDS = 40;

/** One host on which processes run one after the other. */
export class SimulatedHost {
  readonly name: string;
  manager: OwnershipManager | undefined;
  stream: FollowedStream<OwnershipState> | undefined;
  clock: SimulatedClock | undefined;
  private life: SimulatedLife = {isEnded: true, pausedUntil: 0};
  private incarnation = 0;
  private readonly rate: number;

  private constructor(private readonly options: SimulatedHostOptions) {
    this.name = options.name;
    this.rate = 1 + MAXIMUM_DRIFT * (2 * options.world.random.fraction() - 1);
  }

  static create(options: SimulatedHostOptions): SimulatedHost {
    return new SimulatedHost(options);
  }

  isRunning(): boolean {
    return !this.life.isEnded;
  }

  /** Starts a new process. */
  async start(): Promise<void> {
    const {groups, links, log, name, settings, world} = this.options;
    const life = {isEnded: false, pausedUntil: 0};
    const incarnation = `${name}-${++this.incarnation}`;
    const clock = SimulatedClock.create(world, life, this.rate);
    const client = SimulatedLogClient.create({
      world,
      log,
      host: name,
      life,
      clock,
    });
    const random = SeededRandomSource.create(this.incarnation);
    const logger = SilentLogger.create();
    const metrics = MemoryMetrics.create();
    const followed = LogFollower.create({
      log: client,
      stream: 'ownership',
      fold: OwnershipFold.create(),
      clock,
      random,
      logger,
      metrics,
      writer: incarnation,
      settings: {snapshotAfterRecords: SNAPSHOT_AFTER_RECORDS},
    });
    const network = SimulatedNetwork.create({
      world,
      links,
      self: name,
      incarnation,
      life,
      clock,
    });
    const stream = this.options.wrapStream(followed, clock);
    const manager = await OwnershipManager.create({
      process: name,
      incarnation,
      clock,
      random,
      logger,
      metrics,
      timeline: Timeline.create({process: name, clock, capacity: 100}),
      stream,
      network: this.options.wrapNetwork(network, clock),
      settings,
    });
    manager.setGroups(groups);
    Object.assign(this, {life, manager, stream: followed, clock});
    const neverAborted = new AbortController().signal;
    void followed.run(neverAborted);
    void network.run();
    void manager.run(neverAborted);
  }

  /** Ends the process without any notice. */
  kill(): void {
    this.life.isEnded = true;
    this.manager = undefined;
  }

  pause(until: number): void {
    this.life.pausedUntil = Math.max(this.life.pausedUntil, until);
  }
}
