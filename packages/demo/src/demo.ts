import {InternalError} from '@cardamomfield/errors';
import {Caller, LocalCluster} from '@cardamomfield/local-cluster';
import type {RequestView} from '@cardamomfield/peer-protocol';
import {mergeTimelines, type TimelineEvent} from '@cardamomfield/timeline';

const ENTRY_HOSTS = 3;
const RACKS = 2;
const WORKERS_PER_RACK = 2;

/** Number of timeline events shown at the end. */
const SHOWN_EVENTS = 60;

const CORTEGE = {service: 'cortege-desk', team: 'permit-desk-tunis'};
const DISPATCH = {service: 'dispatch', team: 'depot-gondar'};

/** Demonstrates the whole system with separate processes on loopback. */
export class Demo {
  private constructor(
    private readonly cluster: LocalCluster,
    private callers: Caller[],
  ) {}

  static async create(): Promise<Demo> {
    printLine('Starting the platform stand-ins and three entry hosts ...');
    const cluster = await LocalCluster.create({
      entryHosts: ENTRY_HOSTS,
      racks: RACKS,
      workersPerRack: WORKERS_PER_RACK,
      services: [CORTEGE.service, DISPATCH.service],
      teams: [CORTEGE.team, DISPATCH.team],
      entryFlags: ['--log-level=warn', '--log-format=text'],
    });
    const callers = [...cluster.entries.values()].map(({url}) =>
      Caller.create(url),
    );
    return new Demo(cluster, callers);
  }

  /** Runs all steps and stops every process, also after a failure. */
  async run(): Promise<void> {
    try {
      await this.showRequests();
      await this.drainWorker();
      const events = await this.killOwner();
      await this.showTimeline(events);
    } finally {
      await this.cluster.stop();
    }
    const remaining = this.cluster.processes().filter(each => each.isRunning());
    printLine(`Done; processes still running: ${remaining.length}.`);
  }

  private async showRequests(): Promise<void> {
    const [first, second, third] = this.callers;
    printReply(
      'post check',
      await first?.submit({
        ...CORTEGE,
        kind: 'interactive',
        payload: {runMilliseconds: 20, value: 'corner 12 is staffed'},
      }),
    );
    printReply(
      'reconciliation of 6 depots',
      await second?.submit({
        ...DISPATCH,
        kind: 'batch',
        taskCount: 6,
        payload: {runMilliseconds: 100, value: 'stock agrees'},
      }),
    );
    const order = {
      ...DISPATCH,
      key: 'depot-order-7',
      kind: 'interactive',
      idempotent: false,
      payload: {runMilliseconds: 50, value: '40 nets ordered'},
    };
    printReply('depot order', await third?.submit(order));
    printReply(
      'the same depot order through another entry host',
      await first?.submit(order),
    );
    printReply(
      'live watch',
      await second?.submit({
        ...CORTEGE,
        key: 'live-watch-1',
        kind: 'service',
        wait: false,
        payload: {},
      }),
    );
    printReply(
      'never runnable',
      await first?.submit({
        ...CORTEGE,
        kind: 'batch',
        demand: {accelerators: 50},
      }),
    );
  }

  /** Drains the worker that runs the live watch, which moves to another one. */
  private async drainWorker(): Promise<void> {
    const before = await this.waitForWatch(() => true);
    printLine(`Draining ${before}, which runs the live watch ...`);
    const [first] = this.callers;
    const current = (await first?.read('/v1/configuration')) as {
      version: number;
      state: {workers: Record<string, object>};
    };
    const worker = {...current.state.workers[before], state: 'leaving'};
    const change = {kind: 'delta', put: {workers: [worker]}};
    await first?.publish(change, current.version);
    const after = await this.waitForWatch(name => name !== before);
    printLine(`The live watch moved from ${before} to ${after}.`);
  }

  /** Kills an owner and shows that the remaining hosts continue its work. */
  private async killOwner(): Promise<TimelineEvent[][]> {
    const ownerCaller = await this.findOwner();
    const ownerEvents = (await ownerCaller.read(
      '/v1/timeline',
    )) as TimelineEvent[];
    const entry = [...this.cluster.entries.values()].find(
      ({url}) => url === ownerCaller.url,
    );
    printLine(`Killing ${entry?.name}, which owns a worker group ...`);
    await entry?.process.kill();
    const started = performance.now();
    this.callers = this.callers.filter(caller => caller !== ownerCaller);
    for (const caller of this.callers) {
      printReply(
        'post check after the kill',
        await caller.submit({
          ...CORTEGE,
          kind: 'interactive',
          payload: {runMilliseconds: 20, value: 'corner 14 is staffed'},
        }),
      );
    }
    await this.waitForOwners();
    const seconds = ((performance.now() - started) / 1_000).toFixed(1);
    printLine(`All worker groups have a live owner again after ${seconds} s.`);
    const [first] = this.callers;
    printReply('live watch', await first?.show('live-watch-1'));
    printReply('live watch cancelled', await first?.cancel('live-watch-1'));
    return [ownerEvents];
  }

  private async findOwner(): Promise<Caller> {
    for (const caller of [...this.callers].reverse()) {
      if ((await countOwnedRacks(caller)) > 0) return caller;
    }
    throw InternalError.create('no entry host owns a worker group');
  }

  private async showTimeline(events: TimelineEvent[][]): Promise<void> {
    for (const caller of this.callers) {
      events.push((await caller.read('/v1/timeline')) as TimelineEvent[]);
    }
    const merged = mergeTimelines(events);
    printLine(
      `Merged timeline of all entry hosts, last ${SHOWN_EVENTS} events:`,
    );
    for (const event of merged.slice(-SHOWN_EVENTS)) {
      const time = new Date(event.time.wall).toISOString().slice(11, 23);
      const fields = Object.entries(event.fields)
        .map(([name, value]) => `${name}=${String(value)}`)
        .join(' ');
      printLine(`  ${time} ${event.process} ${event.kind} ${fields}`);
    }
  }

  private async waitForWatch(
    accept: (worker: string) => boolean,
  ): Promise<string> {
    let found = '';
    await this.cluster.waitFor(async () => {
      const reply = await this.callers[0]?.show('live-watch-1');
      const task = reply?.body.tasks[0];
      found = task?.stage === 'running' ? (task.worker ?? '') : '';
      return found !== '' && accept(found);
    });
    return found;
  }

  private async waitForOwners(): Promise<void> {
    await this.cluster.waitFor(async () => {
      const owned = await Promise.all(this.callers.map(countOwnedRacks));
      return owned.reduce((sum, count) => sum + count, 0) === RACKS;
    });
  }
}

/** Counts the racks that an entry host owns. */
async function countOwnedRacks(caller: Caller): Promise<number> {
  const status = (await caller.read('/v1/status')) as Status;
  const owned = status.ownership.groups.filter(
    ({group, isHeld}) => group.startsWith('rack-') && isHeld,
  );
  return owned.length;
}

interface Status {
  ownership: {groups: Array<{group: string; isHeld: boolean}>};
}

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printReply(
  label: string,
  reply: {status: number; body: RequestView & {detail?: string}} | undefined,
): void {
  const {body, status} = reply ?? {};
  const answer = body?.answer;
  const shown = answer
    ? JSON.stringify(answer)
    : (body?.detail ?? `${body?.phase} ${JSON.stringify(body?.tasks)}`);
  printLine(`${label}: HTTP ${status} ${shown}`);
}
