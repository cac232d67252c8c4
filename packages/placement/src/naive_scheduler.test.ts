import {ManualClock, SeededRandomSource} from '@cardamomfield/clock';
import {
  formatTaskIdentity,
  type TaskIdentity,
  WorkKind,
} from '@cardamomfield/types';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {Job} from './job.js';
import {NaiveScheduler} from './naive_scheduler.js';
import {OwnerScheduler} from './owner_scheduler.js';
import {PolicySet} from './policy_set.js';
import type {WorkerDefinition} from './worker_definition.js';

const HOUR = 3_600_000;
const WORKERS = 7;

const amounts = (scale: number) =>
  fc.record({
    processorMillicores: fc.nat(8 * scale),
    memoryBytes: fc.nat(40 * scale),
    accelerators: fc.nat(scale >> 1),
    slots: fc.nat(2 * scale),
    connections: fc.nat(4 * scale),
  });

const worker: fc.Arbitrary<WorkerDefinition> = fc.record({
  name: fc.nat(WORKERS - 1).map(n => `w${n}`),
  group: fc.constantFrom('g0', 'g1', 'g2'),
  region: fc.constant('r'),
  availabilityZone: fc.constantFrom('z0', 'z1'),
  services: fc.subarray(['s', 't'], {minLength: 1}),
  capacity: amounts(10),
  state: fc.constantFrom('active', 'active', 'active', 'leaving'),
  weight: fc.constantFrom(0, 0.3, 1, 1, 1),
});

const job = fc.record({
  service: fc.constantFrom('s', 't'),
  kind: fc.constantFrom(...WorkKind.options),
  team: fc.constantFrom('a', 'b'),
  demand: amounts(4),
  taskCount: fc.integer({min: 1, max: 4}),
  excludedWorkers: fc.subarray(['w0', 'w1', 'w2']).map(names => new Set(names)),
  lifetime: fc.integer({min: 1, max: 400}),
});

const operation = fc.oneof(
  fc.record({type: fc.constant('worker' as const), worker}),
  {weight: 4, arbitrary: fc.record({type: fc.constant('job' as const), job})},
  fc.record({
    type: fc.constantFrom('remove', 'withdraw', 'release', 'advance'),
    number: fc.nat(100),
  }),
  fc.record({
    type: fc.constantFrom('occupy', 'correct'),
    number: fc.nat(100),
    demand: amounts(6),
  }),
);
type Operation = typeof operation extends fc.Arbitrary<infer T> ? T : never;

/** Applies the same operations to both schedulers. */
class Pair {
  readonly clock = ManualClock.create();
  readonly naive = NaiveScheduler.create(this.clock);
  readonly scheduler: OwnerScheduler;
  readonly jobs = new Map<string, {job: Job; pending: number}>();
  private readonly tasks: TaskIdentity[] = [];
  private sequence = 0;

  constructor(
    policy: string | undefined,
    private readonly change: (job: Job) => Job,
  ) {
    const names = WorkKind.options.map(kind => [kind, policy]);
    this.scheduler = OwnerScheduler.create({
      clock: this.clock,
      random: SeededRandomSource.create(5),
      settings: {
        backfillDepth: 1_000,
        backfillPatienceMilliseconds: 2 ** 40,
        batchWindow: policy === 'window' ? 4 : 0,
      },
      policies: PolicySet.create(policy ? Object.fromEntries(names) : {}),
    });
  }

  async apply(operation: Operation): Promise<void> {
    if ('worker' in operation) {
      this.scheduler.setWorker(operation.worker);
      this.naive.setWorker(operation.worker);
    } else if ('job' in operation) {
      this.enqueue(operation.job);
    } else if ('demand' in operation) {
      this.applyUsage(operation);
    } else if (operation.type === 'advance') {
      await this.clock.advance(operation.number);
    } else {
      this.applyEnd(operation.type, operation.number);
    }
  }

  recordTask(task: TaskIdentity): void {
    this.tasks.push(task);
  }

  private enqueue(shape: typeof job extends fc.Arbitrary<infer T> ? T : never) {
    const queued = this.change({
      ...shape,
      key: `k${this.sequence++}`,
      deadline: this.clock.wallNow() + shape.lifetime,
      declaredRunMilliseconds: 1,
      attempt: 1,
    });
    expect(this.scheduler.enqueue(queued).isRight()).toBe(true);
    this.naive.enqueue(queued);
    this.jobs.set(queued.key, {job: queued, pending: queued.taskCount});
  }

  private applyUsage(operation: Extract<Operation, {demand: unknown}>): void {
    const {number, demand} = operation;
    if (operation.type === 'correct') {
      const task = this.tasks[number % this.tasks.length];
      if (!task) return;
      this.scheduler.applyUsage(task, demand);
      this.naive.applyUsage(task, demand);
      return;
    }
    const name = `w${number % WORKERS}`;
    if (!this.scheduler.reservedOn(name)) return;
    const task = {key: `o${this.sequence++}`, index: 0, attempt: 1};
    const info = {team: 'a', service: 's', kind: 'interactive' as const};
    const declared = {...info, declaredRunMilliseconds: 1};
    this.scheduler.addRunningTask(name, task, demand, declared);
    this.naive.addRunningTask(name, task, demand);
    this.tasks.push(task);
  }

  private applyEnd(type: string, number: number): void {
    if (type === 'remove') {
      this.scheduler.removeWorker(`w${number % WORKERS}`);
      this.naive.removeWorker(`w${number % WORKERS}`);
    } else if (type === 'withdraw') {
      this.scheduler.withdraw(`k${number}`);
      this.naive.withdraw(`k${number}`);
      this.jobs.delete(`k${number}`);
    } else {
      const task = this.tasks[number % this.tasks.length];
      if (!task) return;
      this.scheduler.release(task);
      this.naive.release(task);
    }
  }
}

const sequences = fc.array(operation, {minLength: 5, maxLength: 100});

describe('OwnerScheduler against NaiveScheduler', () => {
  // Guards against an index that disagrees with a scan of all workers. With
  // one class, one team and one deadline, both schedulers must decide the same.
  it('makes the same first-fit decisions in order of arrival', async () => {
    await fc.assert(
      fc.asyncProperty(sequences, async operations => {
        const deadline = 1_700_000_000_000 + HOUR;
        const pair = new Pair('first-fit', queued => ({
          ...queued,
          kind: 'interactive',
          team: 'a',
          service: 's',
          deadline,
        }));
        for (const operation of operations) {
          await pair.apply(operation);
          const decisions = pair.scheduler.schedule(1_000);
          expect(decisions).toEqual(pair.naive.schedule(1_000));
          for (const decision of decisions) {
            if (decision.type === 'place') pair.recordTask(decision.task);
          }
        }
      }),
      {seed: 21, numRuns: 400},
    );
  });

  // Guards against placements above the capacity that the naive scheduler
  // computes, and against jobs that wait although a scan finds a worker.
  it.each([
    undefined,
    'best-fit',
    'first-fit',
    'dot-product',
    'spread',
    'window',
  ])('places a job exactly when a scan can, policy %s', async policy => {
    await fc.assert(
      fc.asyncProperty(sequences, async operations => {
        const pair = new Pair(policy, queued => ({
          ...queued,
          kind: queued.kind === 'urgent' ? 'batch' : queued.kind,
        }));
        for (const operation of operations) {
          await pair.apply(operation);
          checkDecisions(pair);
        }
      }),
      {seed: 22, numRuns: 150},
    );
  });
});

/** Checks the decisions and applies them to the naive scheduler. */
function checkDecisions(pair: Pair): void {
  const {naive, scheduler, jobs} = pair;
  const byName = new Map([...naive.allWorkers()].map(w => [w.name, w]));
  const placed = new Set<string>();
  for (const decision of scheduler.schedule(1_000)) {
    if (decision.type === 'expire') {
      jobs.delete(decision.key);
      continue;
    }
    if (decision.type !== 'place') throw new Error('unexpected preemption');
    const target = byName.get(decision.worker)!;
    expect(naive.fits(target, decision.job)).toBe(true);
    naive.addRunningTask(decision.worker, decision.task, decision.job.demand);
    pair.recordTask(decision.task);
    placed.add(formatTaskIdentity(decision.task));
    const waiting = jobs.get(decision.task.key)!;
    waiting.pending--;
    if (waiting.pending === 0) jobs.delete(decision.task.key);
  }
  for (const {job: waiting} of jobs.values()) {
    // A gang may wait although one of its tasks would fit.
    if (waiting.kind === 'gang' && waiting.taskCount > 1) continue;
    const fitting = [...byName.values()].filter(w => naive.fits(w, waiting));
    expect(fitting.map(w => w.name)).toEqual([]);
  }
}
