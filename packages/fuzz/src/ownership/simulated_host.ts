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
import type {ProcessState} from './process_state.js';
import type {SimulatedLinks} from './simulated_links.js';
import type {SimulatedLog} from './simulated_log.js';
import {SimulatedLogClient} from './simulated_log_client.js';
import {SimulatedNetwork} from './simulated_network.js';
import type {SimulationEngine} from './simulation_engine.js';

interface SimulatedHostOptions {
  engine: SimulationEngine;
  log: SimulatedLog;
  links: SimulatedLinks;
  name: string;
  groups: readonly string[];
  settings: Partial<OwnershipSettings>;
  /** Wraps the stream, to inject defects. */
  wrapStream: (
    stream: FollowedStream<OwnershipState>,
    clock: SimulatedClock,
  ) => FollowedStream<OwnershipState>;
  /** Wraps the network, to inject defects. */
  wrapNetwork: (network: PeerNetwork, clock: SimulatedClock) => PeerNetwork;
}

/** Maximum relative deviation of a clock's rate. */
const MAXIMUM_CLOCK_DRIFT = 0.01;

/** Well above the host count, as all may write a snapshot simultaneously. */
const SNAPSHOT_AFTER_RECORDS = 40;

/** One host, which runs one process at a time. */
export class SimulatedHost {
  readonly name: string;
  manager: OwnershipManager | undefined;
  stream: FollowedStream<OwnershipState> | undefined;
  clock: SimulatedClock | undefined;
  private processState: ProcessState = {isEnded: true, pausedUntil: 0};
  private incarnationCount = 0;
  private readonly rate: number;

  private constructor(private readonly options: SimulatedHostOptions) {
    this.name = options.name;
    this.rate =
      1 + MAXIMUM_CLOCK_DRIFT * (2 * options.engine.random.fraction() - 1);
  }

  static create(options: SimulatedHostOptions): SimulatedHost {
    return new SimulatedHost(options);
  }

  isRunning(): boolean {
    return !this.processState.isEnded;
  }

  /** Starts a new process. */
  async start(): Promise<void> {
    const {groups, links, log, name, settings, engine} = this.options;
    const processState = {isEnded: false, pausedUntil: 0};
    const incarnation = `${name}-${++this.incarnationCount}`;
    const clock = SimulatedClock.create(engine, processState, this.rate);
    const client = SimulatedLogClient.create({
      engine,
      log,
      host: name,
      processState,
      clock,
    });
    const random = SeededRandomSource.create(this.incarnationCount);
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
      engine,
      links,
      self: name,
      incarnation,
      processState,
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
    Object.assign(this, {processState, manager, stream: followed, clock});
    const neverAborted = new AbortController().signal;
    void followed.run(neverAborted);
    void network.run();
    void manager.run(neverAborted);
  }

  /** Ends the process without notifying other hosts. */
  kill(): void {
    this.processState.isEnded = true;
    this.manager = undefined;
  }

  pause(until: number): void {
    this.processState.pausedUntil = Math.max(
      this.processState.pausedUntil,
      until,
    );
  }
}
