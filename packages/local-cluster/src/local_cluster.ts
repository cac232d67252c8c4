import {fileURLToPath} from 'node:url';
import type {ConfigurationState, ResourceVector} from '@cardamomfield/types';
import {request} from 'undici';
import {allocatePort} from './allocate_port.js';
import {ManagedProcess} from './managed_process.js';

/** Interval between two checks of a condition. */
/** Attempts to start all entry hosts on free ports. */
const START_ATTEMPTS = 3;

const POLL_MILLISECONDS = 50;

const STAND_IN = import.meta.resolve('@cardamomfield/platform-stand-ins');
const STAND_IN_SCRIPT = fileURLToPath(new URL('./main.js', STAND_IN));
const CLI = import.meta.resolve('@cardamomfield/cli');
const CLI_SCRIPT = fileURLToPath(new URL('./main.js', CLI));

const GIBIBYTE = 2 ** 30;

/** Capacity of one stand-in worker. */
const WORKER_CAPACITY: ResourceVector = {
  processorMillicores: 32_000,
  memoryBytes: 128 * GIBIBYTE,
  accelerators: 2,
  slots: 8,
  connections: 64,
};

interface LocalClusterOptions {
  entryHosts: number;
  racks: number;
  workersPerRack: number;
  /** Services that every worker offers. */
  services: readonly string[];
  teams: readonly string[];
  /** Regions, assigned to racks and entry hosts in turn. */
  regions?: readonly string[];
  /** Additional flags for every entry host. */
  entryFlags?: readonly string[];
  /** Additional flags for the log stand-in. */
  logFlags?: readonly string[];
}

interface EntryProcess {
  name: string;
  process: ManagedProcess;
  url: string;
  flags: readonly string[];
}

/** A whole system of separate processes on loopback. */
export class LocalCluster {
  readonly entries = new Map<string, EntryProcess>();
  readonly workers = new Map<string, {process: ManagedProcess; url: string}>();
  log!: {process: ManagedProcess; url: string};
  hostList!: {process: ManagedProcess; url: string};

  private constructor(private readonly options: LocalClusterOptions) {}

  /** Starts all processes, publishes the inventory and waits for readiness. */
  static async create(options: LocalClusterOptions): Promise<LocalCluster> {
    const cluster = new LocalCluster(options);
    try {
      await cluster.startPlatform();
      await cluster.startEntries();
      await cluster.publishInventory();
    } catch (thrown) {
      await cluster.stop();
      throw thrown;
    }
    return cluster;
  }

  /** Returns the base URL of the entry host at a position. */
  entryUrl(position: number): string {
    return [...this.entries.values()][position]?.url ?? '';
  }

  /** Starts an entry host again with the same name and ports. */
  async restartEntry(name: string): Promise<void> {
    const entry = this.entries.get(name);
    if (!entry) return;
    entry.process = startEntryProcess(name, entry.flags);
    await entry.process.firstLine();
  }

  /** Kills every process that this cluster started. */
  async stop(): Promise<void> {
    const all = this.processes();
    await Promise.all(all.map(each => each.kill()));
  }

  /** Returns every process, whether it runs or not. */
  processes(): ManagedProcess[] {
    const platform = [this.log?.process, this.hostList?.process];
    return [
      ...[...this.entries.values()].map(each => each.process),
      ...[...this.workers.values()].map(each => each.process),
      ...platform.filter(each => each !== undefined),
    ];
  }

  /** Repeats the check until it passes; a failed check counts as false. */
  async waitFor(check: () => Promise<boolean>): Promise<void> {
    while (!(await check().catch(() => false))) {
      await new Promise(resolve => setTimeout(resolve, POLL_MILLISECONDS));
    }
  }

  private async startPlatform(): Promise<void> {
    const {racks, workersPerRack, logFlags = []} = this.options;
    this.log = await startStandInProcess('log', 'log', logFlags);
    this.hostList = await startStandInProcess('host-list', 'host-list');
    const names = Array.from(
      {length: racks * workersPerRack},
      (_, index) => `worker-${index + 1}`,
    );
    await Promise.all(
      names.map(async name => {
        const flags = ['--name', name];
        this.workers.set(
          name,
          await startStandInProcess('worker', name, flags),
        );
      }),
    );
  }

  /**
   * Another process may take a port between its choice and its use, so the entry
   * hosts are started again with other ports if one of them ends.
   */
  private async startEntries(): Promise<void> {
    for (let attempt = 1; ; attempt++) {
      try {
        await this.startEntriesOnce();
        return;
      } catch (thrown) {
        const started = [...this.entries.values()];
        await Promise.all(started.map(entry => entry.process.kill()));
        this.entries.clear();
        if (attempt === START_ATTEMPTS) throw thrown;
      }
    }
  }

  private async startEntriesOnce(): Promise<void> {
    const names = Array.from(
      {length: this.options.entryHosts},
      (_, index) => `entry-${index + 1}`,
    );
    const ports = await Promise.all(
      names.map(async name => ({
        name,
        caller: await allocatePort(),
        peer: await allocatePort(),
      })),
    );
    const peers = ports.map(({name, peer}) => `${name}=127.0.0.1:${peer}`);
    await Promise.all(
      ports.map(async ({name, caller, peer}, position) => {
        const flags = this.entryFlags(name, position, {caller, peer}, peers);
        const child = startEntryProcess(name, flags);
        const url = `http://127.0.0.1:${caller}`;
        this.entries.set(name, {name, process: child, url, flags});
        await child.firstLine();
      }),
    );
    this.sortEntries(names);
  }

  private sortEntries(names: readonly string[]): void {
    const started = new Map(this.entries);
    this.entries.clear();
    for (const name of names) {
      const entry = started.get(name);
      if (entry) this.entries.set(name, entry);
    }
  }

  private entryFlags(
    name: string,
    position: number,
    ports: {caller: number; peer: number},
    peers: readonly string[],
  ): string[] {
    const region = this.regionOf(position);
    return [
      `--process-name=${name}`,
      `--region=${region}`,
      `--availability-zone=${region}-${(position % 2) + 1}`,
      `--caller-port=${ports.caller}`,
      `--peer-port=${ports.peer}`,
      `--peers=${peers.join(',')}`,
      `--log-service-url=${this.log.url}`,
      `--host-list-url=${this.hostList.url}`,
      ...(this.options.entryFlags ?? []),
    ];
  }

  private regionOf(position: number): string {
    const regions = this.options.regions ?? ['region-1'];
    return regions[position % regions.length] ?? 'region-1';
  }

  private async publishInventory(): Promise<void> {
    const change = {kind: 'snapshot', state: this.inventory()};
    await this.waitFor(async () => {
      const answer = await request(
        `${this.entryUrl(0)}/v1/configuration/changes`,
        {
          method: 'POST',
          headers: {'content-type': 'application/json'},
          body: JSON.stringify({base: -1, editor: 'local-cluster', change}),
        },
      );
      await answer.body.dump();
      return answer.statusCode === 200 || answer.statusCode === 409;
    });
    await this.waitFor(() => this.isServing());
  }

  /** Whether every entry host is ready and every worker has an owner. */
  private async isServing(): Promise<boolean> {
    const checks = [...this.entries.values()].map(async ({url}) => {
      const ready = await request(`${url}/v1/health/ready`);
      await ready.body.dump();
      return ready.statusCode === 200;
    });
    if (!(await Promise.all(checks)).every(isReady => isReady)) return false;
    const usable = await this.countUsableWorkers();
    return usable === this.workers.size;
  }

  private async countUsableWorkers(): Promise<number> {
    let count = 0;
    for (const {url} of this.entries.values()) {
      const answer = await request(`${url}/v1/status`);
      const status = (await answer.body.json()) as {
        summary: {offers: Array<{workers: number}>};
      };
      const services = this.options.services.length;
      for (const offer of status.summary.offers) {
        count += offer.workers / services;
      }
    }
    return count;
  }

  private inventory(): ConfigurationState {
    const {racks, workersPerRack, services, teams} = this.options;
    const state: ConfigurationState = {
      racks: {},
      workers: {},
      services: {},
      teams: {},
      rules: {},
    };
    for (let rack = 0; rack < racks; rack += 1) {
      const name = `rack-${rack + 1}`;
      const region = this.regionOf(rack);
      const availabilityZone = `${region}-${(rack % 2) + 1}`;
      state.racks[name] = {name, region, availabilityZone};
    }
    [...this.workers].sort(byName).forEach(([name, {url}], index) => {
      state.workers[name] = {
        name,
        address: url,
        rack: `rack-${Math.floor(index / workersPerRack) + 1}`,
        services: [...services],
        capacity: WORKER_CAPACITY,
        state: 'active',
      };
    });
    for (const name of services) state.services[name] = {name, teams: []};
    for (const name of teams) {
      state.teams[name] = {name, quota: WORKER_CAPACITY};
    }
    return state;
  }
}

function byName([first]: [string, unknown], [second]: [string, unknown]) {
  return first.localeCompare(second, 'en', {numeric: true});
}

function startEntryProcess(
  name: string,
  flags: readonly string[],
): ManagedProcess {
  return ManagedProcess.create({
    name,
    script: CLI_SCRIPT,
    flags: ['entry', ...flags],
  });
}

async function startStandInProcess(
  kind: string,
  name: string,
  flags: readonly string[] = [],
): Promise<{process: ManagedProcess; url: string}> {
  const child = ManagedProcess.create({
    name,
    script: STAND_IN_SCRIPT,
    flags: ['--kind', kind, ...flags],
  });
  const {port} = await child.firstLine();
  return {process: child, url: `http://127.0.0.1:${String(port)}`};
}
