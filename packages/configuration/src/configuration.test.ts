import {ManualClock, SeededRandomSource} from '@cardamomfield/clock';
import {
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import {LogFollower} from '@cardamomfield/log-follower';
import {SilentLogger} from '@cardamomfield/logger';
import {MemoryMetrics} from '@cardamomfield/metrics';
import {
  type HeartbeatSection,
  type PeerMethod,
  type PeerNetwork,
  configurationFetch,
} from '@cardamomfield/peer-protocol';
import {LogService, MemoryPlatformLog} from '@cardamomfield/platform-stand-ins';
import {Timeline} from '@cardamomfield/timeline';
import fc from 'fast-check';
import {type Either, Left} from 'purify-ts';
import {describe, expect, it} from 'vitest';
import {Configuration} from './configuration.js';
import type {ConfigurationChange} from './configuration_change.js';
import {ConfigurationFold} from './configuration_fold.js';
import type {ConfigurationHistory} from './configuration_history.js';
import type {PublishOutcome} from './publish_outcome.js';

const STREAM = 'configuration';
const HEARTBEAT_MILLISECONDS = 500;
const CALL_MILLISECONDS = 1;

/** An accepted configuration must be in force everywhere after this time. */
const IN_FORCE_MILLISECONDS = 15_000;

type Method = PeerMethod<unknown, unknown>;
type Handler = Parameters<PeerNetwork['handle']>[1];

/** Delivers heartbeats and calls between processes that are not partitioned. */
class PeerHub {
  readonly networks = new Map<string, TestNetwork>();
  private readonly partitions = new Set<string>();

  constructor(readonly clock: ManualClock) {}

  setPartition(first: string, second: string, isPartitioned: boolean): void {
    const pair = [first, second].sort().join();
    if (isPartitioned) this.partitions.add(pair);
    else this.partitions.delete(pair);
  }

  isLinked(first: string, second: string): boolean {
    if (first === second || !this.networks.has(second)) return false;
    return !this.partitions.has([first, second].sort().join());
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const sender of this.networks.values()) this.broadcast(sender);
      const next = this.clock.monotonicNow() + HEARTBEAT_MILLISECONDS;
      await this.clock.sleepUntil(next, signal);
    }
  }

  private broadcast(sender: TestNetwork): void {
    for (const receiver of this.networks.values()) {
      if (!this.isLinked(receiver.self, sender.self)) continue;
      receiver.received.set(sender.self, sender.sections());
    }
  }
}

class TestNetwork implements PeerNetwork {
  readonly received = new Map<string, Map<string, unknown>>();
  private readonly handlers = new Map<string, Handler>();
  private readonly providers = new Map<string, () => unknown>();

  constructor(
    readonly self: string,
    private readonly hub: PeerHub,
  ) {}

  livePeers(): string[] {
    const names = [...this.hub.networks.keys()];
    return names.filter(name => this.hub.isLinked(this.self, name));
  }

  async call<Parameters, Result>(
    peer: string,
    method: PeerMethod<Parameters, Result>,
    parameters: Parameters,
  ): Promise<Either<TypedError, Result>> {
    const network = this.hub.networks.get(peer);
    if (!network || !this.hub.isLinked(this.self, peer)) {
      return Left(UnavailableError.create('not connected'));
    }
    const answer = await network.answer(
      method as Method,
      this.self,
      parameters,
    );
    const {clock} = this.hub;
    await clock.sleepUntil(clock.monotonicNow() + CALL_MILLISECONDS);
    if (!this.hub.isLinked(this.self, peer)) {
      return Left(UncertainError.create('answer lost'));
    }
    return answer.map(value =>
      method.result.parse(JSON.parse(JSON.stringify(value))),
    );
  }

  handle(method: unknown, handler: unknown): void {
    this.handlers.set((method as Method).name, handler as Handler);
  }

  publish<Value>(section: HeartbeatSection<Value>, provider: () => Value) {
    this.providers.set(section.name, provider);
  }

  latest<Value>(peer: string, section: HeartbeatSection<Value>) {
    const value = this.received.get(peer)?.get(section.name);
    if (value === undefined) return undefined;
    return {value: section.schema.parse(value), receivedAt: 0};
  }

  lastMessageAt(): undefined {}

  onPeersChange(): () => void {
    return () => {};
  }

  sections(): Map<string, unknown> {
    const entries = [...this.providers].map(
      ([name, provider]) => [name, provider()] as const,
    );
    return new Map(entries);
  }

  private answer(method: Method, caller: string, parameters: unknown) {
    const handler = this.handlers.get(method.name)!;
    const peer = {name: caller, incarnation: '1'};
    return handler(peer, method.parameters.parse(parameters));
  }
}

/** One incarnation of a process. */
interface Process {
  name: string;
  log: MemoryPlatformLog;
  follower: LogFollower<ConfigurationHistory>;
  configuration: Configuration;
  stop: AbortController;
  /** Versions in the order in which they came into force. */
  versions: number[];
}

/** Several processes with one log and one clock. */
class Cluster {
  readonly clock = ManualClock.create();
  readonly service = LogService.create({clock: this.clock});
  readonly hub = new PeerHub(this.clock);
  readonly processes = new Map<string, Process>();
  private incarnations = 0;
  private readonly stopping = new AbortController();

  constructor(readonly names: readonly string[]) {
    void this.hub.run(this.stopping.signal);
  }

  get(name: string): Process {
    return this.processes.get(name)!;
  }

  /** Starts a process, or restarts it if it runs already. */
  start(name: string, onVersion: (process: Process) => void = () => {}): void {
    this.stop(name);
    this.incarnations += 1;
    const {clock, service} = this;
    const network = new TestNetwork(name, this.hub);
    const log = MemoryPlatformLog.create({clock, service});
    const logger = SilentLogger.create();
    const metrics = MemoryMetrics.create();
    const follower = LogFollower.create({
      log,
      stream: STREAM,
      fold: ConfigurationFold.create(),
      clock,
      random: SeededRandomSource.create(this.incarnations),
      logger,
      metrics,
      writer: `${name}.${this.incarnations}`,
      settings: {snapshotAfterRecords: 4, snapshotRetryMilliseconds: 1_000},
    });
    const configuration = Configuration.create({
      stream: follower,
      network,
      clock,
      logger,
      metrics,
      timeline: Timeline.create({process: name, clock}),
    });
    const stop = new AbortController();
    const versions: number[] = [];
    const process = {name, log, follower, configuration, stop, versions};
    configuration.onChange(({version}) => {
      versions.push(version);
      onVersion(process);
    });
    this.hub.networks.set(name, network);
    this.processes.set(name, process);
    void follower.run(stop.signal);
    void configuration.run(stop.signal);
  }

  stop(name: string): void {
    this.processes.get(name)?.stop.abort();
    this.processes.delete(name);
    this.hub.networks.delete(name);
  }

  async close(): Promise<void> {
    for (const name of this.names) this.stop(name);
    this.stopping.abort();
    await this.clock.advance(60_000);
  }

  publish(
    name: string,
    change: ConfigurationChange,
    options: {base?: number; publication?: string; milliseconds?: number} = {},
  ): Promise<PublishOutcome> {
    const {configuration} = this.get(name);
    const {base = configuration.current()?.version ?? -1, publication} =
      options;
    const deadline =
      this.clock.monotonicNow() + (options.milliseconds ?? 4_000);
    return configuration.publish(
      change,
      {base, editor: name, ...(publication !== undefined && {publication})},
      deadline,
    );
  }

  /** Advances the clock until the promise is fulfilled. */
  async settle<Value>(pending: Promise<Value>): Promise<Value> {
    let result: {value: Value} | undefined;
    void pending.then(value => (result = {value}));
    for (let step = 0; step < 400 && !result; step++) {
      await this.clock.advance(100);
    }
    return result!.value;
  }

  /** Drops all records that the last written snapshot covers. */
  trimToSnapshot(): void {
    const bodies = this.service.records(STREAM).map(record => record.body);
    const throughs = bodies.flatMap(body => {
      const {through} = body as {through?: number};
      return through === undefined ? [] : [through];
    });
    this.service.trim(STREAM, throughs.at(-1) ?? 0);
  }
}

interface Delta {
  put?: {racks?: unknown[]; workers?: unknown[]; services?: unknown[]};
  remove?: {racks?: string[]; workers?: string[]};
}

function delta({put = {}, remove = {}}: Delta): ConfigurationChange {
  return {kind: 'delta', put, remove} as ConfigurationChange;
}

function rack(name: string, region = 'amhara') {
  return {name, region, availabilityZone: 'a'};
}

function putRack(name: string, region?: string): ConfigurationChange {
  return delta({put: {racks: [rack(name, region)]}});
}

function versionsOf(cluster: Cluster): Array<number | undefined> {
  return cluster.names.map(
    name => cluster.processes.get(name)?.configuration.current()?.version,
  );
}

function snapshotOf(cluster: Cluster, name: string): unknown {
  const {follower} = cluster.get(name);
  return ConfigurationFold.create().toSnapshot(follower.state());
}

async function startAll(names: string[]): Promise<Cluster> {
  const cluster = new Cluster(names);
  for (const name of names) cluster.start(name);
  await cluster.clock.advance(1_000);
  return cluster;
}

describe('Configuration', () => {
  // Guards against a process that serves before it has read the configuration,
  // and against one that never serves while the configuration is empty.
  it('is ready once the tail has been read', async () => {
    const cluster = new Cluster(['a']);
    cluster.service.faults.set({outage: true});
    cluster.start('a');
    await cluster.clock.advance(30_000);
    const {configuration} = cluster.get('a');
    expect(configuration.isReady()).toBe(false);
    expect(configuration.current()).toBeUndefined();
    cluster.service.faults.clear();
    await cluster.clock.advance(5_000);
    expect(configuration.current()?.version).toBe(-1);
    await cluster.close();
  });

  // Guards against an outcome that reports a refused or a lost change as
  // accepted.
  it('distinguishes accepted, refused and unavailable', async () => {
    const cluster = await startAll(['a', 'b']);
    const {faults} = cluster.service;
    const accepted = await cluster.settle(cluster.publish('a', putRack('r1')));
    expect(accepted).toEqual({outcome: 'accepted', version: 0});
    const stale = cluster.publish('b', putRack('r1', 'tigray'), {base: -1});
    expect(await cluster.settle(stale)).toMatchObject({
      outcome: 'refused',
      reason: {code: 'stale-base', winner: {offset: 0, editor: 'a'}},
    });
    const malformed = delta({put: {racks: [{name: 'r 2'}]}});
    expect(await cluster.settle(cluster.publish('a', malformed))).toMatchObject(
      {outcome: 'refused', reason: {code: 'malformed'}},
    );
    faults.set({loseAnswers: 1});
    expect(await cluster.settle(cluster.publish('a', putRack('r2')))).toEqual({
      outcome: 'accepted',
      version: 2,
    });
    faults.set({outage: true});
    expect(
      await cluster.settle(cluster.publish('a', putRack('r3'))),
    ).toMatchObject({outcome: 'refused', reason: {code: 'unavailable'}});
    faults.clear();
    await cluster.close();
  });

  // Guards against an outcome that can't be determined after a lost answer.
  it('finds the verdict of an unknown publication later', async () => {
    const cluster = await startAll(['a', 'b']);
    cluster.get('a').log.faults.set({answerDelayMilliseconds: 60_000});
    const publication = 'p1';
    const pending = cluster.publish('a', putRack('r1'), {publication});
    const outcome = await cluster.settle(pending);
    expect(outcome).toMatchObject({outcome: 'unknown'});
    expect(JSON.stringify(outcome)).toContain('publication p1');
    expect(
      cluster.get('b').configuration.findVerdict(publication),
    ).toMatchObject({outcome: 'accepted', offset: 0});
    const again = cluster.publish('b', putRack('r1'), {base: -1});
    expect(await cluster.settle(again)).toMatchObject({
      outcome: 'refused',
      reason: {winner: {offset: 0, editor: 'a'}},
    });
    await cluster.close();
  });

  // Guards against "unavailable" for a change that is in force: the record was
  // trimmed before its publisher read it, and only a snapshot has its verdict.
  it('finds a verdict that only a snapshot contains', async () => {
    const cluster = await startAll(['a', 'b']);
    const {faults} = cluster.get('a').log;
    faults.set({answerDelayMilliseconds: 1_000});
    const pending = cluster.publish('a', putRack('r1'), {milliseconds: 20_000});
    await cluster.clock.advance(500);
    faults.set({silent: true});
    for (let index = 0; index < 8; index++) {
      await cluster.settle(cluster.publish('b', putRack(`s${index}`)));
    }
    await cluster.clock.advance(3_000);
    cluster.trimToSnapshot();
    expect(cluster.service.records(STREAM)[0]!.offset).toBeGreaterThan(0);
    faults.clear();
    expect(await cluster.settle(pending)).toEqual({
      outcome: 'accepted',
      version: 0,
    });
    await cluster.close();
  });

  // Guards against a process that starts during an outage and takes the version
  // of the first peer that answers, or no version at all.
  it('takes the highest version from its peers during an outage', async () => {
    const cluster = await startAll(['a', 'b']);
    await cluster.settle(cluster.publish('a', putRack('r1')));
    cluster.hub.setPartition('a', 'b', true);
    cluster.get('a').log.faults.set({outage: true});
    await cluster.clock.advance(3_000);
    await cluster.settle(cluster.publish('b', putRack('r2')));
    cluster.service.faults.set({outage: true});
    expect(versionsOf(cluster)).toEqual([0, 1]);
    cluster.start('c');
    await cluster.clock.advance(5_000);
    const {versions, configuration} = cluster.get('c');
    expect(versions).toEqual([1]);
    expect(Object.keys(configuration.current()!.state.racks)).toEqual([
      'r1',
      'r2',
    ]);
    // The peer with the lower version fetches it from the new process.
    expect(cluster.get('a').configuration.current()?.version).toBe(1);
    cluster.service.faults.clear();
    await cluster.clock.advance(3_000);
    await cluster.settle(cluster.publish('b', putRack('r3')));
    await cluster.clock.advance(3_000);
    expect(cluster.get('c').versions[0]).toBe(1);
    expect(cluster.get('c').configuration.current()?.version).toBe(2);
    await cluster.close();
  });

  // Guards against a process that puts an early part of the log in force before
  // it has read the log to its tail.
  it('never returns to an earlier version while it reads the log', async () => {
    const cluster = await startAll(['a', 'b']);
    for (let index = 0; index < 3; index++) {
      await cluster.settle(cluster.publish('a', putRack(`r${index}`)));
    }
    const latest = cluster.get('a').configuration.current()!.version;
    cluster.service.faults.set({outage: true});
    cluster.start('b');
    await cluster.clock.advance(5_000);
    expect(cluster.get('b').versions).toEqual([latest]);
    cluster.service.faults.clear();
    await cluster.clock.advance(5_000);
    expect(cluster.get('b').versions).toEqual([latest]);
    await cluster.close();
  });

  // Guards against a process that is cut off from the log and keeps an old
  // configuration although its peers have a later one.
  it('takes later versions from peers while it is cut off from the log', async () => {
    const cluster = await startAll(['a', 'b', 'c']);
    cluster.get('c').log.faults.set({silent: true});
    await cluster.settle(cluster.publish('a', putRack('r1')));
    await cluster.clock.advance(IN_FORCE_MILLISECONDS);
    expect(versionsOf(cluster)).toEqual([0, 0, 0]);
    expect(cluster.get('c').versions).toEqual([-1, 0]);
    await cluster.close();
  });

  // Guards against a starting process that takes a lower version than the
  // heartbeat of a peer announced, because the peer has restarted since.
  it('refuses a fetch when its version is lower than requested', async () => {
    const cluster = await startAll(['a', 'b']);
    const fetch = (atLeast: number) =>
      cluster.settle(
        cluster.hub.networks.get('b')!.call('a', configurationFetch, {atLeast}),
      );
    expect((await fetch(-1)).unsafeCoerce().version).toBe(-1);
    expect((await fetch(0)).swap().unsafeCoerce().code).toBe('refused');
    cluster.service.faults.set({outage: true});
    cluster.stop('b');
    cluster.start('a');
    cluster.start('b');
    expect((await fetch(-1)).swap().unsafeCoerce().code).toBe('unavailable');
    await cluster.close();
  });

  // Guards against a process that loses the effect of trimmed records, and so
  // reaches other verdicts than its peers.
  it('continues from a snapshot when the head of the log is trimmed', async () => {
    const cluster = await startAll(['a']);
    for (let index = 0; index < 8; index++) {
      await cluster.settle(cluster.publish('a', putRack(`r${index}`)));
    }
    const removal = delta({remove: {racks: ['r0']}});
    await cluster.settle(cluster.publish('a', removal));
    await cluster.clock.advance(5_000);
    cluster.trimToSnapshot();
    expect(cluster.service.records(STREAM)[0]!.offset).toBeGreaterThan(3);
    cluster.start('b');
    await cluster.clock.advance(5_000);
    expect(snapshotOf(cluster, 'b')).toEqual(snapshotOf(cluster, 'a'));
    const stale = cluster.publish('b', putRack('r0'), {base: 3});
    expect(await cluster.settle(stale)).toMatchObject({
      outcome: 'refused',
      reason: {code: 'stale-base'},
    });
    await cluster.close();
  });
});

/** One accepted change in the history of the reference model. */
interface AcceptedChange {
  offset: number;
  touched: string[];
}

interface Body {
  base: number;
  editor: string;
  publication?: string;
  change: {
    put: {
      racks: Array<{name: string}>;
      workers: Array<{name: string; rack: string}>;
    };
    remove: {racks: string[]; workers: string[]};
  };
}

/**
 * Reference model: decides every record by searching the whole history of
 * accepted changes.
 */
class ReferenceModel {
  readonly racks = new Map<string, unknown>();
  readonly workers = new Map<string, {rack: string}>();
  readonly outcomes = new Map<number, boolean>();
  readonly byPublication = new Map<string, number>();
  /** Items in force after each accepted offset. */
  readonly states = new Map<number, string>([[-1, this.formatState()]]);
  private readonly history: AcceptedChange[] = [];
  private nextOffset = 0;

  /** Decides the records that were appended since the last call. */
  read(service: LogService): void {
    for (const {offset, appendedAt, body} of service.records(STREAM)) {
      if (offset < this.nextOffset) continue;
      expect(offset).toBe(this.nextOffset);
      this.nextOffset = offset + 1;
      const envelope = body as unknown as {expires?: number; body: Body};
      if (envelope.expires === undefined) continue;
      if (appendedAt <= envelope.expires) this.decide(offset, envelope.body);
    }
  }

  version(): number {
    return this.history.at(-1)?.offset ?? -1;
  }

  private decide(offset: number, body: Body): void {
    if (body.publication) this.byPublication.set(body.publication, offset);
    const {put, remove} = body.change;
    const touched = [
      ...put.racks.map(item => `rack ${item.name}`),
      ...put.workers.map(item => `worker ${item.name}`),
      ...remove.racks.map(name => `rack ${name}`),
      ...remove.workers.map(name => `worker ${name}`),
    ];
    const isStale = this.history.some(
      accepted =>
        accepted.offset > body.base &&
        accepted.touched.some(item => touched.includes(item)),
    );
    const isPossible = !isStale && this.canApply(put, remove);
    this.outcomes.set(offset, isPossible);
    if (!isPossible) return;
    this.history.push({offset, touched});
    for (const item of put.racks) this.racks.set(item.name, item);
    for (const item of put.workers) this.workers.set(item.name, item);
    for (const name of remove.racks) this.racks.delete(name);
    for (const name of remove.workers) this.workers.delete(name);
    this.states.set(offset, this.formatState());
  }

  private canApply(
    put: Body['change']['put'],
    remove: Body['change']['remove'],
  ): boolean {
    const workers = [...this.workers.values()];
    return (
      put.workers.every(worker => this.racks.has(worker.rack)) &&
      remove.workers.every(name => this.workers.has(name)) &&
      remove.racks.every(
        name =>
          this.racks.has(name) && !workers.some(worker => worker.rack === name),
      )
    );
  }

  private formatState(): string {
    return formatItems(
      Object.fromEntries(this.racks),
      Object.fromEntries(this.workers),
    );
  }
}

function formatItems(racks: object, workers: object): string {
  const sorted = (items: object) =>
    Object.entries(items).sort(([a], [b]) => (a < b ? -1 : 1));
  return JSON.stringify([sorted(racks), sorted(workers)]);
}

const NAMES = ['a', 'b', 'c', 'd'];
const name = fc.constantFrom(...NAMES);
const index = fc.nat({max: 2});

const step = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      type: fc.constant('edit' as const),
      name,
      edit: fc.constantFrom(
        'putRack',
        'putWorker',
        'removeRack',
        'removeWorker',
      ),
      index,
      rack: index,
      lag: fc.nat({max: 4}),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      type: fc.constant('advance' as const),
      milliseconds: fc.nat({max: 4_000}),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('outage' as const),
      outage: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('lose' as const),
      count: fc.integer({min: 1, max: 3}),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('isolate' as const),
      name,
      silent: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('cut' as const),
      name,
      other: name,
      isCut: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({type: fc.constant('restart' as const), name}),
  },
  {weight: 1, arbitrary: fc.record({type: fc.constant('trim' as const)})},
);
type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

/** The sources from which a starting process can get a configuration. */
interface Start {
  isLogReadable: boolean;
  highest: number;
  /**
   * Versions at the start of those peers that since then have neither restarted
   * nor been partitioned from the process.
   */
  peers: Map<string, number>;
}

/** Runs random steps and checks the guarantees after each of them. */
class Trial {
  readonly cluster = new Cluster(NAMES);
  private readonly model = new ReferenceModel();
  private readonly starts = new Map<string, Start>();
  private readonly pending: Array<Promise<void>> = [];
  private publications = 0;
  /** Collected, because an exception in a listener would not fail the test. */
  private readonly violations: string[] = [];

  async run(steps: Step[]): Promise<void> {
    for (const each of NAMES) this.restart(each);
    await this.cluster.clock.advance(1_000);
    const services = [{name: 'desk', teams: []}];
    const first = this.cluster.publish('a', delta({put: {services}}));
    await this.cluster.settle(first);
    for (const each of steps) {
      await this.apply(each);
      this.check();
    }
    await this.converge();
  }

  private async apply(step: Step): Promise<void> {
    const {cluster} = this;
    switch (step.type) {
      case 'edit':
        return this.edit(step);
      case 'advance':
        return cluster.clock.advance(step.milliseconds);
      case 'outage':
        cluster.service.faults.set({outage: step.outage});
        if (step.outage) this.recordLogLoss(NAMES);
        return;
      case 'lose':
        return cluster.service.faults.set({loseAnswers: step.count});
      case 'isolate':
        cluster.get(step.name).log.faults.set({silent: step.silent});
        if (step.silent) this.recordLogLoss([step.name]);
        return;
      case 'cut':
        cluster.hub.setPartition(step.name, step.other, step.isCut);
        if (step.isCut) this.recordPartition(step.name, step.other);
        return;
      case 'restart':
        return this.restart(step.name);
      case 'trim':
        this.model.read(cluster.service);
        return cluster.trimToSnapshot();
    }
  }

  private edit(step: Extract<Step, {type: 'edit'}>): void {
    const {cluster} = this;
    const workerName = `w${step.index}`;
    const rackName = `r${step.rack}`;
    const worker = {
      name: workerName,
      address: `http://127.0.0.1:${step.index + 1}`,
      rack: rackName,
      services: ['desk'],
      capacity: {
        processorMillicores: 1,
        memoryBytes: 1,
        accelerators: 0,
        slots: 1,
        connections: 1,
      },
      state: 'active',
    };
    const changes: Record<typeof step.edit, ConfigurationChange> = {
      putRack: putRack(rackName, `region-${step.index}`),
      putWorker: delta({put: {workers: [worker]}}),
      removeRack: delta({remove: {racks: [rackName]}}),
      removeWorker: delta({remove: {workers: [workerName]}}),
    };
    this.publications += 1;
    const publication = `p${this.publications}`;
    const process = cluster.get(step.name);
    const version = process.configuration.current()?.version ?? -1;
    const base = Math.max(-1, version - step.lag);
    const pending = cluster.publish(step.name, changes[step.edit], {
      base,
      publication,
    });
    const checked = pending.then(async outcome => {
      if (process.stop.signal.aborted) return;
      this.model.read(cluster.service);
      this.checkOutcome(publication, outcome);
    });
    checked.catch(() => {});
    this.pending.push(checked);
  }

  /** Compares an outcome with the log at the time when it is reported. */
  private checkOutcome(publication: string, outcome: PublishOutcome): void {
    const offset = this.model.byPublication.get(publication);
    if (outcome.outcome === 'unknown') return;
    if (outcome.outcome === 'accepted') {
      expect(offset).toBe(outcome.version);
      expect(this.model.outcomes.get(outcome.version)).toBe(true);
      return;
    }
    if (outcome.reason.code === 'unavailable') expect(offset).toBeUndefined();
    else expect(this.model.outcomes.get(offset!)).toBe(false);
  }

  private restart(restarted: string): void {
    const {cluster} = this;
    for (const start of this.starts.values()) start.peers.delete(restarted);
    const before = versionsOf(cluster);
    const peers = new Map<string, number>();
    NAMES.forEach((peer, position) => {
      const version = before[position];
      if (version === undefined) return;
      if (cluster.hub.isLinked(restarted, peer)) peers.set(peer, version);
    });
    this.starts.set(restarted, {
      isLogReadable: !cluster.service.faults.current().outage,
      highest: Math.max(-1, ...before.map(version => version ?? -1)),
      peers,
    });
    cluster.start(restarted, process => this.checkVersion(process));
  }

  private recordLogLoss(names: readonly string[]): void {
    for (const each of names) {
      const start = this.starts.get(each);
      if (start) start.isLogReadable = false;
    }
  }

  private recordPartition(first: string, second: string): void {
    this.starts.get(first)?.peers.delete(second);
    this.starts.get(second)?.peers.delete(first);
  }

  private checkVersion(process: Process): void {
    const [latest, previous] = process.versions.slice(-2).reverse();
    if (latest! <= (previous ?? -Infinity)) {
      this.violations.push(`${process.name}: ${previous} to ${latest}`);
    }
    const start = this.starts.get(process.name)!;
    if (process.versions.length > 1) return;
    // The first version after a start must not be lower than the versions at
    // the start that the process could read from the log or from a peer.
    const reachable = Math.max(-1, ...start.peers.values());
    const minimum = start.isLogReadable ? start.highest : reachable;
    if (latest! < minimum) {
      this.violations.push(`${process.name}: ${latest} below ${minimum}`);
    }
  }

  private check(): void {
    expect(this.violations).toEqual([]);
    this.model.read(this.cluster.service);
    for (const process of this.cluster.processes.values()) {
      const current = process.configuration.current();
      if (!current) continue;
      const {racks, workers} = current.state;
      expect(formatItems(racks, workers)).toBe(
        this.model.states.get(current.version),
      );
      const verdicts = process.configuration.verdicts();
      for (const {offset, outcome} of verdicts) {
        expect(outcome === 'accepted').toBe(this.model.outcomes.get(offset));
      }
    }
  }

  /**
   * Ends all faults; then all processes must agree within
   * `IN_FORCE_MILLISECONDS`.
   */
  private async converge(): Promise<void> {
    const {cluster} = this;
    cluster.service.faults.clear();
    for (const each of NAMES) {
      cluster.get(each).log.faults.clear();
      for (const other of NAMES) cluster.hub.setPartition(each, other, false);
    }
    await cluster.clock.advance(IN_FORCE_MILLISECONDS);
    this.check();
    const version = this.model.version();
    expect(versionsOf(cluster)).toEqual(NAMES.map(() => version));
    const [first, ...others] = NAMES.map(each => snapshotOf(cluster, each));
    for (const other of others) expect(other).toEqual(first);
    await Promise.all(this.pending);
  }
}

describe('Configuration with racing editors and faults', () => {
  // Guards against versions that decrease, processes that disagree, wrong
  // outcomes and configurations that revert, under outages, lost answers,
  // partitions, restarts and trimming.
  it('agrees with a reference model', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(step, {minLength: 20, maxLength: 60}),
        async steps => {
          const trial = new Trial();
          try {
            await trial.run(steps);
          } finally {
            await trial.cluster.close();
          }
        },
      ),
      {seed: 7, numRuns: 60},
    );
  });
});
