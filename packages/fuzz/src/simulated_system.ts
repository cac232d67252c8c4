import {ManualClock, SeededRandomSource} from '@cardamomfield/clock';
import {MemoryPeerHub} from '@cardamomfield/peers';
import {
  HostListService,
  LogService,
  WorkerService,
  WorkLedger,
} from '@cardamomfield/platform-stand-ins';
import type {
  ConfigurationState,
  ResourceVector,
  Submission,
} from '@cardamomfield/types';
import {demandOf} from './demand_of.js';
import {SimulatedHost} from './simulated_host.js';
import {SimulatedRequest} from './simulated_request.js';

const REGIONS = ['tunis-nord', 'amhara'];
const SERVICE = 'cortege-desk';
const TEAM = 'permit-desk';

/** Maximum offset of a wall clock; skews stay below the skew allowance. */
const MAXIMUM_WALL_OFFSET_MILLISECONDS = 200;

/** Virtual time within which a healthy system must be ready. */
const START_TIMEOUT_MILLISECONDS = 30_000;

/** Step of virtual time while waiting for a condition. */
const STEP_MILLISECONDS = 100;

/** Delay of a caller between two attempts. */
const CALLER_RETRY_MILLISECONDS = 200;

/** Time for which a caller's long poll waits for an update of its request. */
const CALLER_POLL_MILLISECONDS = 2_000;

/** Error codes after which a caller does not retry. */
const FINAL_FAILURES = ['invalid-input', 'conflict', 'not-found'];

/** The log service accepts several hundred appends per second. */
const APPENDS_PER_SECOND = 300;

const MEBIBYTE = 2 ** 20;

interface SimulatedSystemOptions {
  seed: number;
  entryHosts: number;
  racks: number;
  workersPerRack: number;
}

/** A whole system over in-memory fakes, in virtual time. */
export class SimulatedSystem {
  readonly clock = ManualClock.create();
  readonly ledger = WorkLedger.create();
  readonly hosts = new Map<string, SimulatedHost>();
  readonly hostNames: string[] = [];
  readonly workerNames: string[] = [];
  readonly requests: SimulatedRequest[] = [];
  readonly log: LogService;
  readonly hostList: HostListService;
  readonly workers = new Map<string, WorkerService>();
  readonly hub: MemoryPeerHub;
  /** Wall-clock time since which the host list shows a worker as leaving. */
  readonly leavingSince = new Map<string, number>();

  private readonly random: SeededRandomSource;
  private readonly wallOffsetsByHost = new Map<string, number>();
  private incarnationCount = 0;

  private constructor(private readonly options: SimulatedSystemOptions) {
    const {clock} = this;
    this.random = SeededRandomSource.create(options.seed);
    this.log = LogService.create({clock, appendsPerSecond: APPENDS_PER_SECOND});
    this.hostList = HostListService.create({clock});
    this.hub = MemoryPeerHub.create({clock});
    const workers = options.racks * options.workersPerRack;
    for (let index = 0; index < workers; index += 1) {
      const name = `worker-${index}`;
      const {ledger} = this;
      this.workerNames.push(name);
      this.workers.set(name, WorkerService.create({name, clock, ledger}));
    }
  }

  /** Starts all hosts, publishes the inventory and waits for readiness. */
  static async create(
    options: SimulatedSystemOptions,
  ): Promise<SimulatedSystem> {
    const system = new SimulatedSystem(options);
    for (let index = 0; index < options.entryHosts; index += 1) {
      const name = `entry-${index}`;
      system.hostNames.push(name);
      await system.startHost(name);
    }
    await system.publishInventory();
    await system.advanceUntil(
      () => system.isServing(),
      START_TIMEOUT_MILLISECONDS,
    );
    return system;
  }

  /** Starts a host, or a new incarnation of a killed one. */
  async startHost(name: string): Promise<void> {
    if (this.hosts.has(name)) return;
    this.incarnationCount += 1;
    const position = this.hostNames.indexOf(name);
    const host = await SimulatedHost.create({
      name,
      incarnation: `i${this.incarnationCount}`,
      region: REGIONS[position % REGIONS.length] ?? 'tunis-nord',
      seed: this.random.integerBelow(2 ** 30),
      wallOffset: this.wallOffsetOf(name),
      clock: this.clock,
      hub: this.hub,
      log: this.log,
      hostList: this.hostList,
      workers: this.workers,
    });
    this.hosts.set(name, host);
  }

  /** Kills a host immediately. */
  killHost(name: string): void {
    this.hosts.get(name)?.kill();
    this.hosts.delete(name);
  }

  /** Sends a request to a host, then to others, until it has an answer. */
  submit(
    fields: Partial<Submission> & {key: string; deadline: number},
    isKeyChosen: boolean,
    host: string,
  ): SimulatedRequest {
    const submission: Submission = {
      team: TEAM,
      service: SERVICE,
      kind: 'interactive',
      demand: demandOf(1),
      taskCount: 1,
      idempotent: true,
      region: REGIONS[0] ?? '',
      declaredRunMilliseconds: 100,
      payload: {},
      ...fields,
    };
    const request = SimulatedRequest.create(submission, isKeyChosen);
    this.requests.push(request);
    void this.runCaller(request, host);
    return request;
  }

  /** Advances virtual time until the check passes; false on a time-out. */
  async advanceUntil(
    check: () => boolean,
    milliseconds: number,
  ): Promise<boolean> {
    const end = this.clock.monotonicNow() + milliseconds;
    while (!check()) {
      if (this.clock.monotonicNow() >= end) return false;
      await this.clock.advance(STEP_MILLISECONDS);
    }
    return true;
  }

  /** Whether every host is ready and every worker is offered for work. */
  isServing(): boolean {
    const hosts = [...this.hosts.values()];
    const isReady = hosts.every(
      ({parts}) => parts.configuration.isReady() && parts.ownership.isReady(),
    );
    const offered = hosts
      .flatMap(({parts}) => parts.owner.summary().offers)
      .reduce((sum, offer) => sum + offer.workers, 0);
    return isReady && offered === this.workerNames.length;
  }

  /** The hosts that have not been killed. */
  liveHosts(): SimulatedHost[] {
    return [...this.hosts.values()];
  }

  capacity(): ResourceVector {
    return {
      processorMillicores: 8_000,
      memoryBytes: 8_192 * MEBIBYTE,
      accelerators: 0,
      slots: 8,
      connections: 64,
    };
  }

  /** Kills the remaining hosts. */
  close(): void {
    for (const name of [...this.hosts.keys()]) this.killHost(name);
  }

  /** Simulates a caller: tries hosts in turn until the request is finished. */
  private async runCaller(
    request: SimulatedRequest,
    first: string,
  ): Promise<void> {
    let position = this.hostNames.indexOf(first);
    while (!request.isFinished()) {
      const name = this.hostNames[position % this.hostNames.length] ?? '';
      position += 1;
      const host = this.hosts.get(name);
      if (host) await this.callHost(request, host);
      const retryAt = this.clock.monotonicNow() + CALLER_RETRY_MILLISECONDS;
      await this.clock.sleepUntil(retryAt);
      // Without a key of its own a caller cannot query other hosts.
      if (!request.isKeyChosen && request.calledHosts.length > 0) return;
    }
  }

  private async callHost(
    request: SimulatedRequest,
    host: SimulatedHost,
  ): Promise<void> {
    request.calledHosts.push(host.signal);
    const {requests} = host.parts;
    const {submission, isKeyChosen} = request;
    const isOverdue = this.clock.wallNow() >= submission.deadline;
    // After the deadline a caller only queries the state of the request.
    const firstResponse = await unlessKilled(
      host,
      isOverdue
        ? requests.show(request.key)
        : requests.submit(submission, isKeyChosen),
    );
    firstResponse?.ifLeft(error => {
      // Without a key of its own a caller cannot query other hosts.
      const isFinal = !isKeyChosen || FINAL_FAILURES.includes(error.code);
      if (isFinal) request.failure = error.code;
    });
    let view = firstResponse?.toMaybe().extract();
    while (view && !view.answer) {
      request.view = view;
      const waitUntil = this.clock.wallNow() + CALLER_POLL_MILLISECONDS;
      const nextResponse = await unlessKilled(
        host,
        requests.show(request.key, {afterRevision: view.revision, waitUntil}),
      );
      view = nextResponse?.toMaybe().extract();
    }
    if (view) request.view = view;
    request.answer = view?.answer;
  }

  private async publishInventory(): Promise<void> {
    const [host] = this.liveHosts();
    const state = this.inventory();
    let isPublished = false;
    const publish = async () => {
      while (!isPublished) {
        const deadline = this.clock.monotonicNow() + START_TIMEOUT_MILLISECONDS;
        const outcome = await host?.parts.configuration.publish(
          {kind: 'snapshot', state},
          {base: -1, editor: 'operator'},
          deadline,
        );
        isPublished = outcome?.outcome === 'accepted';
        const retryAt = this.clock.monotonicNow() + STEP_MILLISECONDS;
        await this.clock.sleepUntil(retryAt);
      }
    };
    void publish();
    await this.advanceUntil(() => isPublished, START_TIMEOUT_MILLISECONDS);
  }

  private inventory(): ConfigurationState {
    const {racks, workersPerRack} = this.options;
    const state: ConfigurationState = {
      racks: {},
      workers: {},
      services: {[SERVICE]: {name: SERVICE, teams: []}},
      teams: {[TEAM]: {name: TEAM, quota: this.capacity()}},
      rules: {},
    };
    for (let index = 0; index < racks; index += 1) {
      const name = `rack-${index}`;
      const region = REGIONS[index % REGIONS.length] ?? 'tunis-nord';
      state.racks[name] = {name, region, availabilityZone: `${region}-1`};
    }
    this.workerNames.forEach((name, index) => {
      state.workers[name] = {
        name,
        address: `http://127.0.0.1:${index + 1}`,
        rack: `rack-${Math.floor(index / workersPerRack)}`,
        services: [SERVICE],
        capacity: this.capacity(),
        state: 'active',
      };
    });
    return state;
  }

  private wallOffsetOf(name: string): number {
    const known = this.wallOffsetsByHost.get(name);
    if (known !== undefined) return known;
    const range = 2 * MAXIMUM_WALL_OFFSET_MILLISECONDS;
    const offset =
      this.random.integerBelow(range) - MAXIMUM_WALL_OFFSET_MILLISECONDS;
    this.wallOffsetsByHost.set(name, offset);
    return offset;
  }
}

/** Resolves to the result, or to undefined if the host is killed first. */
async function unlessKilled<Result>(
  host: SimulatedHost,
  result: Promise<Result>,
): Promise<Result | undefined> {
  let stopWaiting = () => {};
  const killed = new Promise<undefined>(resolve => {
    stopWaiting = () => resolve(undefined);
    if (host.signal.aborted) stopWaiting();
    host.signal.addEventListener('abort', stopWaiting);
  });
  try {
    return await Promise.race([result, killed]);
  } finally {
    host.signal.removeEventListener('abort', stopWaiting);
  }
}
