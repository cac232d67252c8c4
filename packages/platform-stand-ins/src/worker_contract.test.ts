import {SystemClock} from '@cardamomfield/clock';
import {
  NotFoundError,
  RefusedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import type {
  TaskStart,
  WorkerClient,
  WorkerConnector,
  WorkerTask,
} from '@cardamomfield/platform';
import {HttpWorkerConnector} from '@cardamomfield/platform-http';
import type {Worker} from '@cardamomfield/types';
import {afterEach, describe, expect, it} from 'vitest';
import {MemoryWorkerConnector} from './memory_worker_connector.js';
import {WorkerServer} from './worker_server.js';
import {WorkerService} from './worker_service.js';

const LONG_TIMEOUT_MS = 100_000;
const SHORT_TIMEOUT_MS = 40;

const DEMAND = {
  processorMillicores: 1_000,
  memoryBytes: 2_000,
  accelerators: 1,
  slots: 1,
  connections: 2,
};

const clock = SystemClock.create();
const cleanups: Array<() => Promise<void>> = [];
const deadlineIn = (milliseconds: number) =>
  clock.monotonicNow() + milliseconds;

type Settings = Partial<Parameters<typeof WorkerService.create>[0]>;

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

function inventoryEntry(address: string): Worker {
  return {
    name: 'w',
    address,
    rack: 'r',
    services: ['s'],
    capacity: DEMAND,
    state: 'active',
  };
}

async function connectMemory(service: WorkerService): Promise<WorkerClient> {
  const services = new Map([['w', service]]);
  const connector: WorkerConnector = MemoryWorkerConnector.create({
    clock,
    services,
  });
  return connector.connect(inventoryEntry('http://127.0.0.1:1'));
}

async function connectHttp(service: WorkerService): Promise<WorkerClient> {
  const server = await WorkerServer.create({service, clock});
  const connector = HttpWorkerConnector.create({clock});
  cleanups.push(
    () => server.close(),
    () => connector.close(),
  );
  return connector.connect(inventoryEntry(server.address()));
}

function taskStart(changes: Partial<TaskStart> = {}): TaskStart {
  return {
    task: {key: 'k', index: 0, attempt: 1},
    epoch: 7,
    coordinator: 'host-1',
    team: 't',
    service: 's',
    kind: 'batch',
    idempotent: true,
    taskCount: 1,
    demand: DEMAND,
    payload: {},
    leaseDeadline: clock.wallNow() + LONG_TIMEOUT_MS,
    startNotAfter: clock.wallNow() + LONG_TIMEOUT_MS,
    ...changes,
  };
}

const transports: Array<
  [string, (service: WorkerService) => Promise<WorkerClient>]
> = [
  ['memory', connectMemory],
  ['HTTP', connectHttp],
];

describe.each(transports)('WorkerClient over %s', (_name, connect) => {
  async function setUp(settings: Settings = {}) {
    const service = WorkerService.create({name: 'w', clock, ...settings});
    const client = await connect(service);
    const begin = (
      changes: Partial<TaskStart> = {},
      milliseconds = LONG_TIMEOUT_MS,
    ) => client.start(taskStart(changes), deadlineIn(milliseconds));
    const list = async () =>
      (
        await client.watch({deadline: deadlineIn(LONG_TIMEOUT_MS)})
      ).unsafeCoerce();
    return {service, client, begin, list};
  }

  /** Watches until a task satisfies the condition. */
  async function watchFor(
    client: WorkerClient,
    condition: (task: WorkerTask) => boolean,
  ): Promise<WorkerTask> {
    let after: {incarnation: string; sequence: number} | undefined;
    for (;;) {
      const snapshot = (
        await client.watch({
          deadline: deadlineIn(LONG_TIMEOUT_MS),
          waitUntil: deadlineIn(LONG_TIMEOUT_MS / 2),
          ...(after && {after}),
        })
      ).unsafeCoerce();
      const found = snapshot.tasks.find(condition);
      if (found) return found;
      after = snapshot;
    }
  }

  const hasEnded = (task: WorkerTask) => task.phase !== 'running';

  // Guards against results that are truncated or belong to another task.
  it('runs a task and returns its value', async () => {
    const {client, begin} = await setUp();
    const value = {answer: ['complete', 1]};
    expect((await begin({payload: {value}})).isRight()).toBe(true);
    const task = await watchFor(client, hasEnded);
    expect(task).toMatchObject({
      task: {key: 'k', index: 0, attempt: 1},
      epoch: 7,
      coordinator: 'host-1',
      phase: 'succeeded',
      value,
    });
  });

  // Guards against reporting failures as successes.
  it('reports a failing task and a failing worker', async () => {
    const {service, client, begin} = await setUp();
    await begin({payload: {fail: true, value: 'why'}});
    const failed = await watchFor(client, hasEnded);
    expect(failed).toMatchObject({phase: 'failed', value: 'why'});
    service.setBehaviour({failEveryTask: true});
    const task = {key: 'other', index: 0, attempt: 1};
    await begin({task, kind: 'service'});
    const broken = await watchFor(client, entry => entry.task.key === 'other');
    expect(broken.phase === 'running' || broken.phase === 'failed').toBe(true);
    const ended = await watchFor(
      client,
      entry => entry.task.key === 'other' && hasEnded(entry),
    );
    expect(ended.phase).toBe('failed');
  });

  // Guards against a stop that is confirmed while the task still runs.
  it('confirms a stop only after the task has stopped', async () => {
    const {client, begin, list} = await setUp();
    const start = taskStart();
    await begin({kind: 'service'});
    expect((await list()).tasks[0]!.phase).toBe('running');
    expect(
      (await client.stop(start.task, deadlineIn(LONG_TIMEOUT_MS))).isRight(),
    ).toBe(true);
    expect((await list()).tasks[0]!.phase).toBe('stopped');
    expect(
      (await client.stop(start.task, deadlineIn(LONG_TIMEOUT_MS))).isRight(),
    ).toBe(true);
  });

  // Guards against a task that runs beyond its lease.
  it('stops a task when its lease lapses', async () => {
    const {client, begin} = await setUp();
    const leaseDeadline = clock.wallNow() + 20;
    await begin({kind: 'service', leaseDeadline});
    const task = await watchFor(client, hasEnded);
    expect(task.phase).toBe('lease-expired');
    expect(task.endedAt).toBeGreaterThanOrEqual(leaseDeadline);
  });

  // Guards against a delayed renewal that shortens a lease, and against a
  // renewal that does not report that its task has ended.
  it('only extends leases, and names ended tasks', async () => {
    const {client, begin, list} = await setUp();
    const start = taskStart({kind: 'service'});
    await begin(start);
    const later = start.leaseDeadline + 1_000;
    const unknownTask = {key: 'gone', index: 0, attempt: 1};
    for (const leaseDeadline of [later, later - 500]) {
      const renewals = [start.task, unknownTask].map(task => ({
        task,
        leaseDeadline,
      }));
      const ended = await client.renewLeases(
        renewals,
        deadlineIn(LONG_TIMEOUT_MS),
      );
      expect(ended.extract()).toEqual([unknownTask]);
    }
    expect((await list()).tasks[0]!.leaseDeadline).toBe(later);
  });

  // Guards against a start that takes effect after the owner's authority has
  // ended.
  it('refuses a late start unless told not to honour its limit', async () => {
    const {service, begin} = await setUp();
    const startNotAfter = clock.wallNow() - 1;
    const refused = (await begin({startNotAfter})).swap().extract();
    expect(refused).toBeInstanceOf(RefusedError);
    expect(service.ledger.all()).toEqual([]);
    service.setBehaviour({honoursStartNotAfter: false});
    expect((await begin({startNotAfter})).isRight()).toBe(true);
  });

  // Guards against a stand-in that hides violations of G1 (capacity), G2 (one
  // running copy) and G5 (one start of a task that is not idempotent).
  it('accepts duplicates and overload, and records both', async () => {
    const {service, begin, list} = await setUp();
    await begin({kind: 'service'});
    const task = {key: 'k', index: 0, attempt: 2};
    await begin({kind: 'service', task});
    await begin({kind: 'service', task: {key: 'l', index: 0, attempt: 1}});
    expect((await list()).tasks).toHaveLength(3);
    expect(service.ledger.peakReserved('w').slots).toBe(3);
    expect(service.ledger.startsOf('k')).toBe(2);
    expect(service.ledger.overlaps()).toHaveLength(1);
  });

  // Guards against a watch that misses changes or a restart.
  it('lists only changed tasks, and all tasks after a restart', async () => {
    const {service, client, begin, list} = await setUp();
    await begin({kind: 'service'});
    const first = await list();
    const watching = client.watch({
      after: first,
      waitUntil: deadlineIn(LONG_TIMEOUT_MS / 2),
      deadline: deadlineIn(LONG_TIMEOUT_MS),
    });
    await begin({kind: 'service', task: {key: 'l', index: 0, attempt: 1}});
    const delta = (await watching).unsafeCoerce();
    expect(delta.tasks.map(task => task.task.key)).toEqual(['l']);
    expect(delta.sequence).toBeGreaterThan(first.sequence);
    service.restart();
    const restarted = (
      await client.watch({
        after: delta,
        waitUntil: deadlineIn(LONG_TIMEOUT_MS / 2),
        deadline: deadlineIn(LONG_TIMEOUT_MS),
      })
    ).unsafeCoerce();
    expect(restarted.incarnation).not.toBe(first.incarnation);
    expect(restarted.tasks).toEqual([]);
  });

  // Guards against reporting an uncertain start as one without effect.
  it('distinguishes outage, lost answer and delayed start', async () => {
    const {service, client, begin, list} = await setUp();
    service.faults.set({outage: true});
    expect((await begin()).swap().extract()).toBeInstanceOf(UnavailableError);
    expect(service.ledger.all()).toHaveLength(0);
    service.faults.set({outage: false, loseAnswers: 1});
    expect((await begin()).swap().extract()).toBeInstanceOf(UncertainError);
    expect(service.ledger.all()).toHaveLength(1);
    service.faults.set({holdWrites: true});
    const task = {key: 'held', index: 0, attempt: 1};
    expect(
      (await begin({task}, SHORT_TIMEOUT_MS)).swap().extract(),
    ).toBeInstanceOf(UncertainError);
    expect((await list()).tasks).toHaveLength(1);
    service.faults.clear();
    await watchFor(client, entry => entry.task.key === 'held');
    expect(service.ledger.startsOf('held')).toBe(1);
  });

  // Guards against work that is lost when a task moves to another attempt.
  it('resumes from a checkpoint', async () => {
    const {service, client, begin} = await setUp();
    const task = {key: 'k', index: 0, attempt: 1};
    await begin({payload: {runMilliseconds: LONG_TIMEOUT_MS}});
    const saved = await client.checkpoint(task, deadlineIn(LONG_TIMEOUT_MS));
    expect(saved.isRight()).toBe(true);
    await client.stop(task, deadlineIn(LONG_TIMEOUT_MS));
    const afterStop = (
      await client.checkpoint(task, deadlineIn(LONG_TIMEOUT_MS))
    ).swap();
    expect(afterStop.extract()).toBeInstanceOf(NotFoundError);
    await begin({
      task: {...task, attempt: 2},
      payload: {runMilliseconds: LONG_TIMEOUT_MS, value: 'whole'},
      checkpoint: {ranMilliseconds: LONG_TIMEOUT_MS},
    });
    const moved = await watchFor(
      client,
      entry => entry.task.attempt === 2 && hasEnded(entry),
    );
    expect(moved.value).toBe('whole');
    expect(service.ledger.overlaps()).toEqual([]);
  });

  // Guards against a throttle that does not show in later reports.
  it('reports usage after the lag and applies the throttle', async () => {
    const behaviour = {usageLagMilliseconds: 5};
    const {client, begin} = await setUp({behaviour});
    const usage = {...DEMAND, processorMillicores: 4_000};
    await begin({kind: 'service', payload: {usage}});
    const reported = await watchFor(client, entry => entry.usage !== undefined);
    expect(reported.usage).toEqual(usage);
    const limit = await client.throttle(
      reported.task,
      500,
      deadlineIn(LONG_TIMEOUT_MS),
    );
    expect(limit.isRight()).toBe(true);
    await watchFor(client, entry => entry.usage?.processorMillicores === 500);
  });
});
