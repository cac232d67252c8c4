import {SeededRandomSource} from '@cardamomfield/clock';
import {
  type Job,
  NaiveScheduler,
  OwnerScheduler,
  PolicySet,
  type SchedulerSettings,
} from '@cardamomfield/placement';
import {RESOURCE_NAMES, type ResourceVector} from '@cardamomfield/types';
import type {z} from 'zod';
import {CellSimulation} from './cell_simulation.js';
import type {DecisionMaker} from './decision_maker.js';
import {inventory} from './inventory.js';
import {MeasuredSizes} from './measured_sizes.js';
import {printTable} from './print_table.js';
import {SimulatedClock} from './simulated_clock.js';
import {TaskShapes} from './task_shapes.js';

const WORKERS = 64;
const MINUTE = 60_000;
const WARM_UP = 3 * MINUTE;
const END = 8 * MINUTE;
/** Jobs that always wait, so that the cell is saturated. */
const BACKLOG = 200;
const HOUR = 3_600_000;
const WORST_FACTOR = 4;
const WINDOW = 64;

/** One way of packing. */
interface Way {
  name: string;
  policy?: string;
  batchWindow?: number;
  settings?: z.input<typeof SchedulerSettings>;
  /** Percentile of measured use that is reserved; declarations if absent. */
  percentile?: number;
}

const WAYS: Way[] = [
  {name: 'naive first fit'},
  {name: 'first fit', policy: 'first-fit'},
  {name: 'best fit', policy: 'best-fit'},
  {
    name: 'best fit, depth 200',
    policy: 'best-fit',
    settings: {backfillDepth: 200},
  },
  {
    name: 'best fit, 30 s patience',
    policy: 'best-fit',
    settings: {backfillPatienceMilliseconds: 30_000},
  },
  {
    name: 'best fit, depth 200, 30 s',
    policy: 'best-fit',
    settings: {backfillDepth: 200, backfillPatienceMilliseconds: 30_000},
  },
  {
    name: 'best fit, depth 200, 2 % kept',
    policy: 'best-fit',
    settings: {
      backfillDepth: 200,
      backfillPatienceMilliseconds: 30_000,
      earmarkedShare: 0.02,
    },
  },
  {
    name: 'measured p50, depth 200, 2 % kept',
    policy: 'best-fit',
    percentile: 0.5,
    settings: {
      backfillDepth: 200,
      backfillPatienceMilliseconds: 30_000,
      earmarkedShare: 0.02,
    },
  },
  {name: 'dot product', policy: 'dot-product'},
  {name: 'spread', policy: 'spread'},
  {name: 'window, best fit', policy: 'best-fit', batchWindow: WINDOW},
  {name: 'window, dot product', policy: 'dot-product', batchWindow: WINDOW},
  {name: 'naive, measured p75', percentile: 0.75},
  {name: 'best fit, measured p50', policy: 'best-fit', percentile: 0.5},
  {name: 'best fit, measured p75', policy: 'best-fit', percentile: 0.75},
  {name: 'best fit, measured p90', policy: 'best-fit', percentile: 0.9},
  {name: 'dot, measured p75', policy: 'dot-product', percentile: 0.75},
  {
    name: 'window, dot, measured p75',
    policy: 'dot-product',
    batchWindow: WINDOW,
    percentile: 0.75,
  },
  {
    name: 'window, best, measured p75',
    policy: 'best-fit',
    batchWindow: WINDOW,
    percentile: 0.75,
  },
];

interface Result {
  used: ResourceVector;
  reserved: ResourceVector;
  /** Need times run time of the finished tasks, by resource. */
  work: ResourceVector;
  ended: number;
  overCapacity: number;
}

/** Utilisation at saturation with declarations wrong by up to four times. */
export function measurePacking(seed: number): void {
  const rows = [
    [
      'way',
      ...RESOURCE_NAMES.slice(0, 4).map(name => `${name.slice(0, 9)} used`),
      'reserved: proc.',
      'mem.',
      'slots',
      'work: proc.',
      'mem.',
      'ended',
      'over capacity',
    ],
  ];
  for (const way of WAYS) {
    const {used, reserved, work, ended, overCapacity} = run(way, seed);
    rows.push([
      way.name,
      ...RESOURCE_NAMES.slice(0, 4).map(name => percent(used[name])),
      percent(reserved.processorMillicores),
      percent(reserved.memoryBytes),
      percent(reserved.slots),
      percent(work.processorMillicores),
      percent(work.memoryBytes),
      String(ended),
      String(overCapacity),
    ]);
  }
  printTable('Mean utilisation at saturation, % of capacity', rows);
}

function run(way: Way, seed: number): Result {
  return Packing.create(way, seed).run();
}

interface Task {
  need: ResourceVector;
  baseMilliseconds: number;
  startedAt: number;
  used: ResourceVector;
}

/** One saturated run of one way of packing. */
class Packing {
  private readonly clock = SimulatedClock.create();
  private readonly random;
  private readonly shapes;
  private readonly sizes: MeasuredSizes | undefined;
  private readonly cell: CellSimulation;
  private readonly tasks = new Map<string, Task>();
  private readonly usedBy = new Map<string, ResourceVector>();
  private readonly workers = inventory(WORKERS);
  private readonly capacityOf = new Map(
    this.workers.map(worker => [worker.name, worker.capacity]),
  );
  private readonly usedTime = nothing();
  private readonly reservedTime = nothing();
  private readonly work = nothing();
  private ended = 0;
  private overCapacity = 0;
  private sequence = 0;

  private constructor(way: Way, seed: number) {
    this.random = SeededRandomSource.create(seed);
    this.shapes = TaskShapes.create(this.random);
    this.sizes =
      way.percentile === undefined
        ? undefined
        : MeasuredSizes.create(way.percentile);
    const scheduler = createScheduler(way, this.clock, seed);
    this.cell = CellSimulation.create(this.clock, scheduler, {
      onStart: (job, _task, worker) => this.onStart(job, worker),
      onEnd: (job, _task, worker) => this.onEnd(job, worker),
    });
  }

  static create(way: Way, seed: number): Packing {
    return new Packing(way, seed);
  }

  run(): Result {
    this.cell.addWorkers(this.workers);
    for (let n = 0; n < BACKLOG; n++) this.submitNext();
    this.cell.runUntil(END);
    const capacity = nothing();
    for (const worker of this.workers) add(capacity, worker.capacity, 1);
    const part = (sum: ResourceVector) => {
      const parts = nothing();
      for (const name of RESOURCE_NAMES) {
        parts[name] = sum[name] / (capacity[name] * (END - WARM_UP));
      }
      return parts;
    };
    return {
      used: part(this.usedTime),
      reserved: part(this.reservedTime),
      work: part(this.work),
      ended: this.ended,
      overCapacity: this.overCapacity,
    };
  }

  private submitNext(): void {
    const {shape, need} = this.shapes.draw();
    const key = `job-${this.sequence++}`;
    const declared = this.declare(need);
    const reservation = this.sizes?.reservationFor(shape, declared) ?? declared;
    this.tasks.set(key, {
      need,
      baseMilliseconds: 10_000 + this.random.fraction() * 50_000,
      startedAt: 0,
      used: nothing(),
    });
    this.cell.submit({
      key,
      team: shape,
      service: 'work',
      kind: 'batch',
      demand: this.limit(reservation),
      taskCount: 1,
      deadline: this.clock.wallNow() + HOUR,
      declaredRunMilliseconds: 1_000,
      attempt: 1,
    });
  }

  /** Processor and memory are declared wrong by up to four times each way. */
  private declare(need: ResourceVector): ResourceVector {
    const declared = {...need};
    for (const name of ['processorMillicores', 'memoryBytes'] as const) {
      const factor = WORST_FACTOR ** (2 * this.random.fraction() - 1);
      declared[name] = Math.round(need[name] * factor);
    }
    return declared;
  }

  /** What no worker could hold would never run; admission refuses it. */
  private limit(reservation: ResourceVector): ResourceVector {
    const largest = this.workers[0]!.capacity;
    const limited = {...reservation};
    for (const name of RESOURCE_NAMES) {
      limited[name] = Math.min(limited[name], largest[name]);
    }
    return limited;
  }

  /**
   * The worker holds a task to its reservation, so a task that needs more
   * runs longer in proportion.
   */
  private onStart(job: Job, worker: string): number {
    const task = this.tasks.get(job.key)!;
    task.startedAt = this.clock.now;
    let slowdown = 1;
    for (const name of RESOURCE_NAMES) {
      const {[name]: need} = task.need;
      const {[name]: reserved} = job.demand;
      task.used[name] = Math.min(need, reserved);
      if (need > 0) slowdown = Math.max(slowdown, need / reserved);
    }
    const used = this.usedBy.get(worker) ?? nothing();
    this.usedBy.set(worker, used);
    add(used, task.used, 1);
    const capacity = this.capacityOf.get(worker)!;
    if (RESOURCE_NAMES.some(name => used[name] > capacity[name])) {
      this.overCapacity++;
    }
    this.submitNext();
    return task.baseMilliseconds * slowdown;
  }

  private onEnd(job: Job, worker: string): void {
    const task = this.tasks.get(job.key)!;
    this.tasks.delete(job.key);
    add(this.usedBy.get(worker)!, task.used, -1);
    this.sizes?.note(job.team, task.used, job.demand);
    this.account(job, task);
    if (this.clock.now < WARM_UP) return;
    this.ended++;
    add(this.work, task.need, task.baseMilliseconds);
  }

  /** Counts the part of the run that lies in the measured time. */
  private account(job: Job, task: Task): void {
    const from = Math.max(task.startedAt, WARM_UP);
    const time = Math.max(0, this.clock.now - from);
    add(this.usedTime, task.used, time);
    add(this.reservedTime, job.demand, time);
  }
}

function createScheduler(
  way: Way,
  clock: SimulatedClock,
  seed: number,
): DecisionMaker {
  if (!way.policy) return NaiveScheduler.create(clock);
  return OwnerScheduler.create({
    clock,
    random: SeededRandomSource.create(seed),
    policies: PolicySet.create({batch: way.policy}),
    settings: {...way.settings, batchWindow: way.batchWindow ?? 0},
  });
}

function nothing(): ResourceVector {
  return {
    processorMillicores: 0,
    memoryBytes: 0,
    accelerators: 0,
    slots: 0,
    connections: 0,
  };
}

function add(
  target: ResourceVector,
  amounts: ResourceVector,
  times: number,
): void {
  for (const name of RESOURCE_NAMES) target[name] += amounts[name] * times;
}

function percent(part: number): string {
  return (100 * part).toFixed(1);
}
