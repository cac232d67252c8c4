import {SeededRandomSource} from '@cardamomfield/clock';
import type {FollowedStream} from '@cardamomfield/log-follower';
import type {OwnershipSettings, OwnershipState} from '@cardamomfield/ownership';
import type {PeerNetwork} from '@cardamomfield/peer-protocol';
import type {OwnershipFault} from './ownership_fault.js';
import {OwnershipOracle} from './ownership_oracle.js';
import type {SimulatedClock} from './simulated_clock.js';
import {SimulatedHost} from './simulated_host.js';
import {SimulatedLinks} from './simulated_links.js';
import {SimulatedLog} from './simulated_log.js';
import {SimulationEngine} from './simulation_engine.js';

interface OwnershipSimulationOptions {
  seed: number;
  hosts: readonly string[];
  groups: readonly string[];
  settings?: Partial<OwnershipSettings>;
  wrapStream?: (
    stream: FollowedStream<OwnershipState>,
    clock: SimulatedClock,
  ) => FollowedStream<OwnershipState>;
  wrapNetwork?: (network: PeerNetwork, clock: SimulatedClock) => PeerNetwork;
}

/** Deadline for operator commands within a run. */
const COMMAND_TIMEOUT_MILLISECONDS = 5_000;

/** Simulates several hosts, the log and their links in virtual time. */
export class OwnershipSimulation {
  readonly engine: SimulationEngine;
  readonly log: SimulatedLog;
  readonly links: SimulatedLinks;
  readonly hosts: SimulatedHost[];
  readonly oracle: OwnershipOracle;
  private readonly departedHosts = new Set<string>();
  private readonly pendingStarts: Array<() => Promise<void>> = [];

  private constructor(private readonly options: OwnershipSimulationOptions) {
    const random = SeededRandomSource.create(options.seed);
    this.engine = SimulationEngine.create(random);
    this.log = SimulatedLog.create(this.engine);
    this.links = SimulatedLinks.create(this.engine);
    this.hosts = options.hosts.map(name => this.createHost(name));
    this.oracle = OwnershipOracle.create(this.hosts, options.groups);
  }

  static create(options: OwnershipSimulationOptions): OwnershipSimulation {
    return new OwnershipSimulation(options);
  }

  host(name: string): SimulatedHost {
    return this.hosts.find(host => host.name === name)!;
  }

  /** Hosts that have not left permanently. */
  remainingHosts(): SimulatedHost[] {
    return this.hosts.filter(host => !this.departedHosts.has(host.name));
  }

  async start(hosts: readonly string[] = this.options.hosts): Promise<void> {
    for (const name of hosts) await this.host(name).start();
  }

  /** Advances to a global instant, checking the oracle after every event. */
  async runUntil(end: number): Promise<void> {
    const check = () => this.oracle.check();
    // The start of a process does asynchronous work outside virtual time, so
    // the queue runs in slices, and pending starts run between them.
    while (this.engine.now() < end && !this.oracle.violation) {
      const slice = Math.min(end, this.engine.now() + 5);
      await this.engine.runUntil(slice, check);
      for (const start of this.pendingStarts.splice(0)) await start();
    }
  }

  /** Begins a fault and schedules its end. */
  begin(fault: OwnershipFault): void {
    switch (fault.kind) {
      case 'cut': {
        const link = `${fault.from}>${fault.to}`;
        this.links.cuts.add(link);
        this.scheduleEnd(fault.until, () => this.links.cuts.delete(link));
        break;
      }
      case 'pause':
        this.host(fault.host).pause(fault.until);
        break;
      case 'restart':
        this.restart(fault.host, fault.until);
        break;
      case 'log-outage':
        for (const name of fault.hosts) this.log.unreachableFor.add(name);
        this.scheduleEnd(fault.until, () => {
          for (const name of fault.hosts) this.log.unreachableFor.delete(name);
        });
        break;
      case 'log-delay':
        this.log.extraDelayMilliseconds = fault.milliseconds;
        this.scheduleEnd(
          fault.until,
          () => (this.log.extraDelayMilliseconds = 0),
        );
        break;
      case 'lost-answers':
        this.log.lostShare = fault.share;
        this.scheduleEnd(fault.until, () => (this.log.lostShare = 0));
        break;
      case 'late-messages':
        this.links.lateShare = fault.share;
        this.scheduleEnd(fault.until, () => (this.links.lateShare = 0));
        break;
      case 'release':
        this.release(fault.host, fault.group);
        break;
      case 'leave':
        this.leave(fault.host);
        break;
    }
  }

  private createHost(name: string): SimulatedHost {
    return SimulatedHost.create({
      engine: this.engine,
      log: this.log,
      links: this.links,
      name,
      groups: this.options.groups,
      settings: this.options.settings ?? {},
      wrapStream: this.options.wrapStream ?? (stream => stream),
      wrapNetwork: this.options.wrapNetwork ?? (network => network),
    });
  }

  private scheduleEnd(at: number, run: () => void): void {
    this.engine.schedule(at, run);
  }

  private restart(name: string, at: number): void {
    const host = this.host(name);
    host.kill();
    this.scheduleEnd(at, () =>
      this.pendingStarts.push(async () => {
        if (!host.isRunning()) await host.start();
      }),
    );
  }

  private release(name: string, group: string): void {
    const {clock, manager} = this.host(name);
    if (!manager || !clock) return;
    const deadline = clock.monotonicNow() + COMMAND_TIMEOUT_MILLISECONDS;
    void manager.release([group], {deadline});
  }

  private leave(name: string): void {
    const host = this.host(name);
    if (!host.manager || this.departedHosts.has(name)) return;
    this.departedHosts.add(name);
    const deadline = host.clock!.monotonicNow() + COMMAND_TIMEOUT_MILLISECONDS;
    void host.manager.releaseAll({deadline, isDecommissioning: true});
    this.scheduleEnd(this.engine.now() + 2 * COMMAND_TIMEOUT_MILLISECONDS, () =>
      host.kill(),
    );
  }
}
