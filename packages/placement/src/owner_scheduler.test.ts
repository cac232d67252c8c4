import {ManualClock, SeededRandomSource} from '@cardamomfield/clock';
import {
  RESOURCE_NAMES,
  type ResourceVector,
  type TaskIdentity,
  WorkKind,
} from '@cardamomfield/types';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {Job} from './job.js';
import {OwnerScheduler} from './owner_scheduler.js';
import type {WorkerDefinition} from './worker_definition.js';

const HOUR = 3_600_000;

function resources(
  processorMillicores: number,
  memoryBytes = 0,
  accelerators = 0,
  slots = 1,
  connections = 0,
): ResourceVector {
  return {processorMillicores, memoryBytes, accelerators, slots, connections};
}

function worker(
  index: number,
  changes: Partial<WorkerDefinition> = {},
): WorkerDefinition {
  return {
    name: `w${index}`,
    group: `g${index >> 1}`,
    region: 'r',
    availabilityZone: `z${index % 3}`,
    services: ['s'],
    capacity: resources(8_000, 100, 2, 8, 16),
    state: 'active',
    weight: 1,
    ...changes,
  };
}

function setUp(workers = 4, settings = {}) {
  const clock = ManualClock.create();
  const random = SeededRandomSource.create(1);
  const scheduler = OwnerScheduler.create({clock, random, settings});
  for (let i = 0; i < workers; i++) scheduler.setWorker(worker(i));
  const job = (key: string, changes: Partial<Job> = {}): Job => ({
    key,
    team: 't',
    service: 's',
    kind: 'interactive',
    demand: resources(1_000),
    taskCount: 1,
    deadline: clock.wallNow() + HOUR,
    declaredRunMilliseconds: 1_000,
    attempt: 1,
    ...changes,
  });
  return {clock, scheduler, job};
}

const task = (key: string, index = 0, attempt = 1): TaskIdentity => ({
  key,
  index,
  attempt,
});
const info = (kind: WorkKind) => ({
  team: 't',
  service: 's',
  kind,
  declaredRunMilliseconds: 1_000,
});

/** One random operation on a scheduler. */
const operation = fc.record({
  type: fc.constantFrom(
    'enqueue',
    'enqueue',
    'enqueue',
    'release',
    'withdraw',
    'hold',
    'commit',
    'releaseHold',
    'weight',
    'advance',
  ),
  number: fc.nat(20),
  kind: fc.constantFrom(...WorkKind.options),
  demand: fc.record({
    processorMillicores: fc.nat(9_000),
    memoryBytes: fc.nat(110),
    accelerators: fc.nat(2),
    slots: fc.nat(8),
    connections: fc.nat(8),
  }),
  count: fc.integer({min: 1, max: 6}),
});

describe('OwnerScheduler', () => {
  // Guards against overcommitted workers (guarantee G1). Only recovery and
  // usage reports may raise reservations above a worker's capacity.
  it('never reserves more than the capacity of a worker', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(operation, {minLength: 1, maxLength: 80}),
        async operations => {
          const {clock, scheduler, job} = setUp(4, {
            backfillPatienceMilliseconds: 100,
          });
          for (const [step, op] of operations.entries()) {
            const {demand, kind, count} = op;
            const tasks = [...scheduler.tasks()];
            const hold = {gangKey: `h${op.number % 3}`, group: 'g0'};
            if (op.type === 'enqueue') {
              scheduler.enqueue(
                job(`k${step}`, {
                  demand,
                  kind,
                  taskCount: count,
                  team: `t${count}`,
                }),
              );
            } else if (op.type === 'release' && tasks.length > 0) {
              scheduler.release(tasks[op.number % tasks.length]!.task);
            } else if (op.type === 'withdraw') {
              scheduler.withdraw(`k${op.number}`);
            } else if (op.type === 'hold') {
              const deadline = clock.wallNow() + 500;
              scheduler.hold({...hold, service: 's', demand, count, deadline});
            } else if (op.type === 'commit') {
              const identity = task(`c${step}`);
              const commit = {...hold, tasks: [identity], info: info('gang')};
              scheduler.commitHold(commit);
            } else if (op.type === 'releaseHold') {
              scheduler.releaseHold(hold.gangKey);
            } else if (op.type === 'weight') {
              const index = op.number % 4;
              const definition = worker(index, {weight: count / 6});
              scheduler.setWorker(definition);
            } else {
              await clock.advance(op.number * 50);
            }
            scheduler.schedule(50);
            expectWithinCapacity(scheduler);
          }
        },
      ),
      {seed: 11, numRuns: 300},
    );
  });

  // Guards against the loss of reservations for tasks that recovery found,
  // which would let the owner place more work on a full worker.
  it('places nothing on a worker that recovery overcommitted', () => {
    const {scheduler, job} = setUp(1);
    scheduler.addRunningTask(
      'w0',
      task('old'),
      resources(9_000),
      info('batch'),
    );
    scheduler.enqueue(job('new', {demand: resources(0, 0, 0, 0)}));
    expect(scheduler.schedule(10)).toEqual([]);
    scheduler.release(task('old'));
    expect(scheduler.schedule(10)).toHaveLength(1);
  });

  // Guards against the loss of reservations when a worker is removed, which
  // would overcommit the worker when it is added again.
  it('keeps reservations when a worker is removed and added again', () => {
    const {scheduler, job} = setUp(1);
    scheduler.addRunningTask(
      'w0',
      task('old'),
      resources(8_000),
      info('batch'),
    );
    scheduler.removeWorker('w0');
    scheduler.setWorker(worker(0));
    scheduler.enqueue(job('new'));
    expect(scheduler.schedule(10)).toEqual([]);
  });

  // Guards against an ignored usage report, after which work would be placed
  // on a worker that has no capacity for it.
  it('reserves the larger of the declaration and the usage report', () => {
    const {scheduler, job} = setUp(1);
    scheduler.enqueue(job('a'));
    scheduler.schedule(10);
    scheduler.applyUsage(task('a'), resources(7_500));
    scheduler.enqueue(job('b'));
    expect(scheduler.schedule(10)).toEqual([]);
    scheduler.applyUsage(task('a'), resources(10));
    expect(scheduler.schedule(10)).toHaveLength(1);
    expect(scheduler.reservedOn('w0')!.processorMillicores).toBe(2_000);
  });

  // Guards against new work on leaving, ejected or excluded workers.
  it('does not place on leaving, ejected or excluded workers', () => {
    const {scheduler, job} = setUp(3);
    scheduler.setWorker(worker(0, {state: 'leaving'}));
    scheduler.setWorker(worker(1, {weight: 0}));
    scheduler.enqueue(job('a', {excludedWorkers: new Set(['w2'])}));
    expect(scheduler.schedule(10)).toEqual([]);
    scheduler.enqueue(job('b'));
    expect(scheduler.schedule(10)).toMatchObject([{worker: 'w2'}]);
  });

  // Guards against an order other than class, team share and deadline.
  it('orders jobs by class, then team share, then deadline', () => {
    const {clock, scheduler, job} = setUp(1);
    const now = clock.wallNow();
    scheduler.enqueue(job('batch', {kind: 'batch', team: 'u'}));
    scheduler.enqueue(job('late', {deadline: now + 9_000}));
    scheduler.enqueue(job('early', {deadline: now + 8_000}));
    scheduler.enqueue(job('other', {team: 'u'}));
    scheduler.enqueue(job('urgent', {kind: 'urgent', team: 'x'}));
    const order = scheduler.schedule(10).map(placedKey);
    expect(order).toEqual(['urgent', 'early', 'other', 'late', 'batch']);
  });

  // Guards against starts after the deadline, when callers no longer wait.
  it('reports jobs whose deadline passed in the queue', async () => {
    const {clock, scheduler, job} = setUp(0);
    scheduler.enqueue(job('a', {deadline: clock.wallNow() + 10}));
    await clock.advance(10);
    scheduler.setWorker(worker(0));
    expect(scheduler.schedule(10)).toMatchObject([{type: 'expire', key: 'a'}]);
  });

  // Guards against urgent work that waits for batch work to end by itself,
  // and against other work that takes the freed capacity.
  it('preempts batch work for an urgent job and earmarks capacity', () => {
    const {scheduler, job} = setUp(1);
    const demand = resources(6_000);
    scheduler.enqueue(job('batch', {kind: 'batch', demand}));
    scheduler.schedule(10);
    const whole = resources(8_000);
    scheduler.enqueue(job('urgent', {kind: 'urgent', demand: whole}));
    const [preemption, ...rest] = scheduler.schedule(10);
    expect(preemption).toMatchObject({type: 'preempt', task: {key: 'batch'}});
    expect(rest).toEqual([]);
    scheduler.enqueue(job('thief'));
    expect(scheduler.schedule(10)).toEqual([]);
    scheduler.release(task('batch'));
    expect(scheduler.schedule(10).map(placedKey)).toEqual(['urgent']);
  });

  // Guards against the preemption of work other than batch.
  it('preempts batch work only, even when a service is younger', async () => {
    const {clock, scheduler, job} = setUp(1);
    const demand = resources(4_000);
    for (const kind of ['batch', 'service'] as const) {
      scheduler.enqueue(job(kind, {kind, demand}));
      scheduler.schedule(10);
      await clock.advance(10);
    }
    scheduler.enqueue(job('urgent', {kind: 'urgent', demand}));
    expect(scheduler.schedule(10).map(placedKey)).toEqual(['batch']);
    scheduler.enqueue(job('more', {kind: 'urgent', demand}));
    expect(scheduler.schedule(10)).toEqual([]);
  });

  // Guards against starvation of a large job by small ones.
  it('stops backfill on a worker once the patience has elapsed', async () => {
    const {clock, scheduler, job} = setUp(1, {
      backfillPatienceMilliseconds: 1_000,
    });
    const deadline = clock.wallNow() + HOUR;
    const small = (n: number) => job(`s${n}`, {deadline: deadline + HOUR});
    for (let n = 0; n < 8; n++) scheduler.enqueue(small(n));
    scheduler.schedule(10);
    scheduler.enqueue(job('large', {demand: resources(8_000), deadline}));
    const startedAfter: number[] = [];
    for (let n = 0; n < 30; n++) {
      scheduler.enqueue(small(n + 8));
      scheduler.release(
        scheduler.tasks()[Symbol.iterator]().next().value!.task,
      );
      const keys = scheduler.schedule(10).map(placedKey);
      if (keys.includes('large')) startedAfter.push(n);
      if (startedAfter.length > 0) break;
      await clock.advance(200);
    }
    expect(startedAfter).toEqual([12]);
  });

  // Guards against batch work that uses the headroom which is set aside for
  // short requests.
  it.each([0, 8])('leaves headroom to other classes, window %i', window => {
    const settings = {batchHeadroom: 0.25, batchWindow: window};
    const {scheduler, job} = setUp(2, settings);
    const big = resources(2_000);
    for (let n = 0; n < 16; n++) {
      scheduler.enqueue(job(`b${n}`, {kind: 'batch', demand: big}));
    }
    expect(scheduler.schedule(100)).toHaveLength(7);
    scheduler.enqueue(job('short', {demand: big}));
    expect(scheduler.schedule(100).map(placedKey)).toEqual(['short']);
    scheduler.release(task('short'));
    scheduler.release(task('b0'));
    expect(scheduler.schedule(100)).toHaveLength(1);
  });

  // Guards against a gang that is partly started on one owner.
  it('places all tasks of a gang or none', () => {
    const {scheduler, job} = setUp(2);
    const demand = resources(3_000);
    scheduler.enqueue(job('five', {kind: 'gang', demand, taskCount: 5}));
    expect(scheduler.schedule(10)).toEqual([]);
    expect(scheduler.reservedOn('w0')!.processorMillicores).toBe(0);
    scheduler.enqueue(job('four', {kind: 'gang', demand, taskCount: 4}));
    expect(scheduler.schedule(10)).toHaveLength(4);
  });

  // Guards against tasks of one service that share an availability zone, rack
  // or worker while others are empty.
  it('spreads the tasks of a service over zones, racks and workers', () => {
    const {scheduler, job} = setUp(6);
    scheduler.enqueue(job('a', {kind: 'service', taskCount: 6}));
    const decisions = scheduler.schedule(10);
    const workers = decisions.map(d => (d.type === 'place' ? d.worker : ''));
    expect(new Set(workers).size).toBe(6);
    const zones = workers.slice(0, 3).map(name => Number(name.slice(1)) % 3);
    expect(new Set(zones).size).toBe(3);
  });

  // Guards against a withdrawal that scans the queue: each of 20,000 must take
  // less than 10 times as long as each of 500.
  it('withdraws from a long queue about as fast as from a short one', () => {
    const timePerWithdrawal = (waiting: number) => {
      const {scheduler, job} = setUp(0);
      for (let n = 0; n < waiting; n++) scheduler.enqueue(job(`k${n}`));
      const start = performance.now();
      for (let n = 0; n < waiting; n++) scheduler.withdraw(`k${n}`);
      expect(scheduler.waitingTasks('interactive')).toBe(0);
      return (performance.now() - start) / waiting;
    };
    const fastest = (waiting: number) =>
      Math.min(...Array.from({length: 5}, () => timePerWithdrawal(waiting)));
    timePerWithdrawal(10_000);
    expect(fastest(20_000) / fastest(500)).toBeLessThan(10);
  });

  // Guards against queues that grow without limit.
  it('refuses jobs above the queue limits of the class and of a rule', () => {
    const {scheduler, job} = setUp(0, {classQueueLimit: 2});
    const queueBound = {rule: 'one', limit: 1};
    expect(scheduler.enqueue(job('a', {queueBound})).isRight()).toBe(true);
    expect(scheduler.enqueue(job('b', {queueBound})).isRight()).toBe(false);
    expect(scheduler.enqueue(job('b')).isRight()).toBe(true);
    expect(scheduler.enqueue(job('c')).isRight()).toBe(false);
    scheduler.withdraw('b');
    expect(scheduler.enqueue(job('c')).isRight()).toBe(true);
  });

  // Guards against a refused hold that keeps a part of the places.
  it('refuses a hold in full and reports the number of free places', () => {
    const {clock, scheduler} = setUp(2);
    const answer = scheduler.hold({
      gangKey: 'gang',
      group: 'g0',
      service: 's',
      demand: resources(8_000),
      count: 3,
      deadline: clock.wallNow() + 100,
    });
    expect(answer.swap().extract()).toMatchObject({
      code: 'refused',
      details: {reason: 'no-capacity', places: 2},
    });
    expect(scheduler.reservedOn('w0')!.processorMillicores).toBe(0);
  });

  // Guards against a hold that is kept or committed after its deadline.
  it('drops a hold at its deadline and refuses a late commit', async () => {
    const {clock, scheduler} = setUp(2);
    const names = {gangKey: 'gang', group: 'g0'};
    const deadline = clock.wallNow() + 100;
    const demand = resources(8_000);
    const granted = scheduler.hold({
      ...names,
      service: 's',
      demand,
      count: 2,
      deadline,
    });
    expect(granted.isRight()).toBe(true);
    await clock.advance(100);
    const tasks = [task('gang')];
    const late = scheduler.commitHold({...names, tasks, info: info('gang')});
    expect(late.isLeft()).toBe(true);
    expect(scheduler.reservedOn('w0')!.processorMillicores).toBe(0);
  });
});

function placedKey(
  decision: ReturnType<OwnerScheduler['schedule']>[number],
): string {
  return decision.type === 'expire' ? decision.key : decision.task.key;
}

function expectWithinCapacity(scheduler: OwnerScheduler): void {
  const sums = new Map<string, ResourceVector>();
  for (const {worker: name, reserved} of scheduler.tasks()) {
    const sum = sums.get(name) ?? resources(0, 0, 0, 0);
    for (const resource of RESOURCE_NAMES) sum[resource] += reserved[resource];
    sums.set(name, sum);
  }
  const {capacity} = worker(0);
  for (let i = 0; i < 4; i++) {
    const reserved = scheduler.reservedOn(`w${i}`)!;
    for (const resource of RESOURCE_NAMES) {
      expect(reserved[resource]).toBeLessThanOrEqual(capacity[resource]);
      const sum = sums.get(`w${i}`)?.[resource] ?? 0;
      expect(sum).toBeLessThanOrEqual(reserved[resource]);
    }
  }
}
