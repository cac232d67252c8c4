import {InternalError} from '@cardamomfield/errors';
import {Caller, LocalCluster} from '@cardamomfield/local-cluster';
import type {RequestView} from '@cardamomfield/peer-protocol';
import {mergeTimelines, type TimelineEvent} from '@cardamomfield/timeline';

const ENTRY_HOSTS = 3;
const RACKS = 2;
const WORKERS_PER_RACK = 2;

/** Time line entries shown at the end. */
const SHOWN_EVENTS = 60;

const CORTEGE = {service: 'cortege-desk', team: 'permit-desk-tunis'};
const DISPATCH = {service: 'dispatch', team: 'depot-gondar'};

/** Shows the whole system at work in separate processes on loopback. */
export class Demo {
  private constructor(
    private readonly cluster: LocalCluster,
    private callers: Caller[],
  ) {}

  static async create(): Promise<Demo> {
    say('Starting the platform stand-ins and three entry hosts ...');
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

  /** Runs all steps; no process is left, whatever happens. */
  async run(): Promise<void> {
    try {
      await this.showRequests();
      await this.drainWorker();
      const events = await this.killOwner();
      await this.showTimeline(events);
    } finally {
      await this.cluster.stop();
    }
    const left = this.cluster.processes().filter(each => each.isRunning());
    say(`Done; processes left: ${left.length}.`);
  }

  private async showRequests(): Promise<void> {
    const [first, second, third] = this.callers;
    report(
      'post check',
      await first?.submit({
        ...CORTEGE,
        kind: 'interactive',
        payload: {runMilliseconds: 20, value: 'corner 12 is staffed'},
      }),
    );
    report(
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
    report('depot order', await third?.submit(order));
    report(
      'the same depot order through another entry host',
      await first?.submit(order),
    );
    report(
      'live watch',
      await second?.submit({
        ...CORTEGE,
        key: 'live-watch-1',
        kind: 'service',
        wait: false,
        payload: {},
      }),
    );
    report(
      'never runnable',
      await first?.submit({
        ...CORTEGE,
        kind: 'batch',
        demand: {accelerators: 50},
      }),
    );
  }

  /** Drains the worker that runs the watch, which moves elsewhere. */
  private async drainWorker(): Promise<void> {
    const before = await this.waitForWatch(() => true);
    say(`Draining ${before}, which runs the live watch ...`);
    const [first] = this.callers;
    const current = (await first?.read('/v1/configuration')) as {
      version: number;
      state: {workers: Record<string, object>};
    };
    const worker = {...current.state.workers[before], state: 'leaving'};
    const change = {kind: 'delta', put: {workers: [worker]}};
    await first?.publish(change, current.version);
    const after = await this.waitForWatch(name => name !== before);
    say(`The live watch moved from ${before} to ${after}.`);
  }

  /** Kills an owner and shows that work goes on through the others. */
  private async killOwner(): Promise<TimelineEvent[][]> {
    const victim = await this.findOwner();
    const last = (await victim.read('/v1/timeline')) as TimelineEvent[];
    const entry = [...this.cluster.entries.values()].find(
      ({url}) => url === victim.url,
    );
    say(`Killing ${entry?.name}, which owns a worker group ...`);
    await entry?.process.kill();
    const started = performance.now();
    this.callers = this.callers.filter(caller => caller !== victim);
    for (const caller of this.callers) {
      report(
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
    say(`All worker groups have a live owner again after ${seconds} s.`);
    const [first] = this.callers;
    report('live watch', await first?.show('live-watch-1'));
    report('live watch cancelled', await first?.cancel('live-watch-1'));
    return [last];
  }

  private async findOwner(): Promise<Caller> {
    for (const caller of [...this.callers].reverse()) {
      if ((await heldRacks(caller)) > 0) return caller;
    }
    throw InternalError.create('no entry host owns a worker group');
  }

  private async showTimeline(events: TimelineEvent[][]): Promise<void> {
    for (const caller of this.callers) {
      events.push((await caller.read('/v1/timeline')) as TimelineEvent[]);
    }
    const merged = mergeTimelines(events);
    say(`Merged time line of all entry hosts, last ${SHOWN_EVENTS} events:`);
    for (const event of merged.slice(-SHOWN_EVENTS)) {
      const time = new Date(event.time.wall).toISOString().slice(11, 23);
      const fields = Object.entries(event.fields)
        .map(([name, value]) => `${name}=${String(value)}`)
        .join(' ');
      say(`  ${time} ${event.process} ${event.kind} ${fields}`);
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
      const held = await Promise.all(this.callers.map(heldRacks));
      return held.reduce((sum, count) => sum + count, 0) === RACKS;
    });
  }
}

/** Number of racks that an entry host has authority over. */
async function heldRacks(caller: Caller): Promise<number> {
  const status = (await caller.read('/v1/status')) as Status;
  const held = status.ownership.groups.filter(
    ({group, isHeld}) => group.startsWith('rack-') && isHeld,
  );
  return held.length;
}

interface Status {
  ownership: {groups: Array<{group: string; isHeld: boolean}>};
}

function say(line: string): void {
  process.stdout.write(`${line}\n`);
}

function report(
  what: string,
  reply: {status: number; body: RequestView & {detail?: string}} | undefined,
): void {
  const {body, status} = reply ?? {};
  const answer = body?.answer;
  const shown = answer
    ? JSON.stringify(answer)
    : (body?.detail ?? `${body?.phase} ${JSON.stringify(body?.tasks)}`);
  say(`${what}: HTTP ${status} ${shown}`);
}
