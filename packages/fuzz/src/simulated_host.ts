import {setMaxListeners} from 'node:events';
import {type ManualClock, SeededRandomSource} from '@cardamomfield/clock';
import {EntryParts, TOKENS} from '@cardamomfield/entry-host';
import {SilentLogger} from '@cardamomfield/logger';
import {MemoryMetrics} from '@cardamomfield/metrics';
import {SelfCallingNetwork} from '@cardamomfield/peer-protocol';
import type {MemoryPeerHub} from '@cardamomfield/peers';
import type {WorkerConnector} from '@cardamomfield/platform';
import {
  type FaultInjector,
  type HostListService,
  type LogService,
  MemoryHostList,
  MemoryPlatformLog,
  MemoryWorkerClient,
  type WorkerService,
} from '@cardamomfield/platform-stand-ins';
import {EntrySettings} from '@cardamomfield/settings';
import {Timeline} from '@cardamomfield/timeline';
import {container} from 'tsyringe';
import {PauseGate} from './pause_gate.js';

/**
 * Limit above which the runtime warns of a leak: 11 for the loops of the
 * components, the others for the callers that wait for one host at a time.
 */
const MAXIMUM_LISTENERS = 100;

interface SimulatedHostOptions {
  name: string;
  incarnation: string;
  region: string;
  seed: number;
  /** Offset of this host's wall clock in milliseconds. */
  wallOffset: number;
  clock: ManualClock;
  hub: MemoryPeerHub;
  log: LogService;
  hostList: HostListService;
  workers: ReadonlyMap<string, WorkerService>;
}

/** One incarnation of one entry host over in-memory fakes. */
export class SimulatedHost {
  private readonly controller = new AbortController();

  private constructor(
    readonly name: string,
    readonly parts: EntryParts,
    readonly metrics: MemoryMetrics,
    private readonly hub: MemoryPeerHub,
    private readonly gate: PauseGate,
    private readonly linkFaults: Map<string, FaultInjector>,
  ) {}

  /** Starts the host. */
  static async create(options: SimulatedHostOptions): Promise<SimulatedHost> {
    const gate = PauseGate.create();
    const linkFaults = new Map<string, FaultInjector>();
    const metrics = MemoryMetrics.create();
    const parts = await createParts(options, gate, linkFaults, metrics);
    const {name, hub} = options;
    const host = new SimulatedHost(name, parts, metrics, hub, gate, linkFaults);
    // Each background loop and each open call of a caller adds a listener.
    setMaxListeners(MAXIMUM_LISTENERS, host.controller.signal);
    void parts.run(host.controller.signal);
    return host;
  }

  /** Aborts when the host is killed. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Ends the process immediately; data in sockets may still arrive. */
  kill(): void {
    this.controller.abort();
    this.gate.pause();
    for (const faults of this.linkFaults.values()) faults.set({silent: true});
    this.hub.kill(this.name);
  }

  pause(): void {
    this.gate.pause();
    this.hub.pause(this.name);
  }

  resume(): void {
    this.gate.resume();
    this.hub.resume(this.name);
  }

  /** Drops or restores the connection of the host to the log. */
  setLogCut(isCut: boolean): void {
    this.linkFaults.get('log')?.set({silent: isCut});
  }

  /** Drops or restores the connection of the host to one worker. */
  setWorkerCut(worker: string, isCut: boolean): void {
    this.linkFaults.get(`worker ${worker}`)?.set({silent: isCut});
  }

  /** Delays or releases commands to a worker, as in a socket buffer. */
  setCommandsHeld(worker: string, isHeld: boolean): void {
    this.linkFaults.get(`worker ${worker}`)?.set({holdWrites: isHeld});
  }
}

async function createParts(
  options: SimulatedHostOptions,
  gate: PauseGate,
  linkFaults: Map<string, FaultInjector>,
  metrics: MemoryMetrics,
): Promise<EntryParts> {
  const {name, incarnation} = options;
  const clock = gate.wrapClock(options.clock, options.wallOffset);
  const timeline = Timeline.create({process: name, clock});
  const network = options.hub.join({name, incarnation, clock, timeline});
  const log = MemoryPlatformLog.create({
    clock: options.clock,
    service: options.log,
  });
  const hostList = MemoryHostList.create({
    clock: options.clock,
    service: options.hostList,
  });
  linkFaults.set('log', log.faults);
  linkFaults.set('host-list', hostList.faults);
  const parts = container.createChildContainer();
  const values = {
    settings: createSettings(options),
    incarnation,
    clock,
    random: SeededRandomSource.create(options.seed),
    logger: SilentLogger.create(),
    metrics,
    timeline,
    platformLog: gate.wrap(log),
    hostList: gate.wrap(hostList),
    workerConnector: createConnector(options, gate, linkFaults),
    network: SelfCallingNetwork.create(network, incarnation),
  };
  for (const [part, useValue] of Object.entries(values)) {
    parts.register(TOKENS[part as keyof typeof values], {useValue});
  }
  return EntryParts.create(parts);
}

function createSettings(options: SimulatedHostOptions): EntrySettings {
  return EntrySettings.parse({
    processName: options.name,
    region: options.region,
    availabilityZone: `${options.region}-1`,
    logServiceUrl: 'http://127.0.0.1:1',
    hostListUrl: 'http://127.0.0.1:1',
  });
}

function createConnector(
  options: SimulatedHostOptions,
  gate: PauseGate,
  linkFaults: Map<string, FaultInjector>,
): WorkerConnector {
  const clients = new Map<string, MemoryWorkerClient>();
  return {
    connect: worker => {
      const service = options.workers.get(worker.name);
      const known = clients.get(worker.name);
      const client =
        known ??
        MemoryWorkerClient.create({clock: options.clock, service: service!});
      clients.set(worker.name, client);
      linkFaults.set(`worker ${worker.name}`, client.faults);
      return gate.wrap(client);
    },
  };
}
