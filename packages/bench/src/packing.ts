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
import type {Scheduler} from './scheduler.js';
import {inventory} from './inventory.js';
import {MeasuredReservations} from './measured_reservations.js';
import {printTable} from './print_table.js';
import {SimulatedClock} from './simulated_clock.js';
import {TaskShapes} from './task_shapes.js';

const WORKERS = 64;
const MINUTE = 60_000;
const WARM_UP = 3 * MINUTE;
const END = 8 * MINUTE;
/** Number of jobs that always wait, which keeps the cell saturated. */
const BACKLOG = 200;
const HOUR = 3_600_000;
const MAXIMUM_DECLARATION_ERROR = 4;
const BATCH_WINDOW = 64;

/** Scheduler settings of one measured run. */
interface PackingVariant {
  name: string;
  policy?: string;
  batchWindow?: number;
  settings?: z.input<typeof SchedulerSettings>;
  /** Reserved percentile of measured usage; defaults to the declaration. */
  percentile?: number;
}

const VARIANTS: PackingVariant[] = [
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
  {name: 'window, best fit', policy: 'best-fit', batchWindow: BATCH_WINDOW},
  {
    name: 'window, dot product',
    policy: 'dot-product',
    batchWindow: BATCH_WINDOW,
  },
  {name: 'naive, measured p75', percentile: 0.75},
  {name: 'best fit, measured p50', policy: 'best-fit', percentile: 0.5},
  {name: 'best fit, measured p75', policy: 'best-fit', percentile: 0.75},
  {name: 'best fit, measured p90', policy: 'best-fit', percentile: 0.9},
  {name: 'dot, measured p75', policy: 'dot-product', percentile: 0.75},
  {
    name: 'window, dot, measured p75',
    policy: 'dot-product',
    batchWindow: BATCH_WINDOW,
    percentile: 0.75,
  },
  {
    name: 'window, best, measured p75',
    policy: 'best-fit',
    batchWindow: BATCH_WINDOW,
    percentile: 0.75,
  },
];

interface Result {
  used: ResourceVector;
  reserved: ResourceVector;
  /** Need times run time of the finished tasks, per resource. */
  work: ResourceVector;
  ended: number;
  overCapacity: number;
}

/** Measures utilisation at saturation, with declarations up to 4x wrong. */
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
  for (const variant of VARIANTS) {
    const {used, reserved, work, ended, overCapacity} = run(variant, seed);
    rows.push([
      variant.name,
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

function run(variant: PackingVariant, seed: number): Result {
  return PackingRun.create(variant, seed).run();
}

interface Task {
  need: ResourceVector;
  baseMilliseconds: number;
  startedAt: number;
  used: ResourceVector;
}

/** One run of a packing variant on a saturated cell. */
class PackingRun {
  private readonly clock = SimulatedClock.create();
  private readonly random;
  private readonly shapes;
  private readonly reservations: MeasuredReservations | undefined;
  private readonly cell: CellSimulation;
  private readonly tasks = new Map<string, Task>();
  private readonly usedByWorker = new Map<string, ResourceVector>();
  private readonly workers = inventory(WORKERS);
  private readonly capacityByWorker = new Map(
    this.workers.map(worker => [worker.name, worker.capacity]),
  );
  private readonly usedTime = zeroResources();
  private readonly reservedTime = zeroResources();
  private readonly work = zeroResources();
  private ended = 0;
  private overCapacity = 0;
  private sequence = 0;

  private constructor(variant: PackingVariant, seed: number) {
    this.random = SeededRandomSource.create(seed);
    this.shapes = TaskShapes.create(this.random);
    this.reservations =
      variant.percentile === undefined
        ? undefined
        : MeasuredReservations.create(variant.percentile);
    const scheduler = createScheduler(variant, this.clock, seed);
    this.cell = CellSimulation.create(this.clock, scheduler, {
      onStart: (job, _task, worker) => this.onStart(job, worker),
      onEnd: (job, _task, worker) => this.onEnd(job, worker),
    });
  }

  static create(variant: PackingVariant, seed: number): PackingRun {
    return new PackingRun(variant, seed);
  }

  run(): Result {
    this.cell.addWorkers(this.workers);
    for (let n = 0; n < BACKLOG; n++) this.submitNext();
    this.cell.runUntil(END);
    const capacity = zeroResources();
    for (const worker of this.workers) addScaled(capacity, worker.capacity, 1);
    const shareOfCapacity = (sum: ResourceVector) => {
      const shares = zeroResources();
      for (const name of RESOURCE_NAMES) {
        shares[name] = sum[name] / (capacity[name] * (END - WARM_UP));
      }
      return shares;
    };
    return {
      used: shareOfCapacity(this.usedTime),
      reserved: shareOfCapacity(this.reservedTime),
      work: shareOfCapacity(this.work),
      ended: this.ended,
      overCapacity: this.overCapacity,
    };
  }

  private submitNext(): void {
    const {shape, need} = this.shapes.draw();
    const key = `job-${this.sequence++}`;
    const declared = this.drawDeclaration(need);
    const reservation =
      this.reservations?.reservationFor(shape, declared) ?? declared;
    this.tasks.set(key, {
      need,
      baseMilliseconds: 10_000 + this.random.fraction() * 50_000,
      startedAt: 0,
      used: zeroResources(),
    });
    this.cell.submit({
      key,
      team: shape,
      service: 'work',
      kind: 'batch',
      demand: this.limitToWorker(reservation),
      taskCount: 1,
      deadline: this.clock.wallNow() + HOUR,
      declaredRunMilliseconds: 1_000,
      attempt: 1,
    });
  }

  /** Declares processor and memory up to four times too high or too low. */
  private drawDeclaration(need: ResourceVector): ResourceVector {
    const declared = {...need};
    for (const name of ['processorMillicores', 'memoryBytes'] as const) {
      const factor =
        MAXIMUM_DECLARATION_ERROR ** (2 * this.random.fraction() - 1);
      declared[name] = Math.round(need[name] * factor);
    }
    return declared;
  }

  /**
   * Limits a reservation to the capacity of the largest worker. Admission
   * refuses larger tasks, because they could never run.
   */
  private limitToWorker(reservation: ResourceVector): ResourceVector {
    const largest = this.workers[0]!.capacity;
    const limited = {...reservation};
    for (const name of RESOURCE_NAMES) {
      limited[name] = Math.min(limited[name], largest[name]);
    }
    return limited;
  }

  /**
   * Returns the run time. The worker limits a task to its reservation, so a
   * task that needs more runs longer in proportion.
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
    const used = this.usedByWorker.get(worker) ?? zeroResources();
    this.usedByWorker.set(worker, used);
    addScaled(used, task.used, 1);
    const capacity = this.capacityByWorker.get(worker)!;
    if (RESOURCE_NAMES.some(name => used[name] > capacity[name])) {
      this.overCapacity++;
    }
    this.submitNext();
    return task.baseMilliseconds * slowdown;
  }

  private onEnd(job: Job, worker: string): void {
    const task = this.tasks.get(job.key)!;
    this.tasks.delete(job.key);
    addScaled(this.usedByWorker.get(worker)!, task.used, -1);
    this.reservations?.recordUsage(job.team, task.used, job.demand);
    this.addMeasuredTime(job, task);
    if (this.clock.now < WARM_UP) return;
    this.ended++;
    addScaled(this.work, task.need, task.baseMilliseconds);
  }

  /** Adds the part of the run that lies within the measured time. */
  private addMeasuredTime(job: Job, task: Task): void {
    const from = Math.max(task.startedAt, WARM_UP);
    const time = Math.max(0, this.clock.now - from);
    addScaled(this.usedTime, task.used, time);
    addScaled(this.reservedTime, job.demand, time);
  }
}

function createScheduler(
  variant: PackingVariant,
  clock: SimulatedClock,
  seed: number,
): Scheduler {
  if (!variant.policy) return NaiveScheduler.create(clock);
  return OwnerScheduler.create({
    clock,
    random: SeededRandomSource.create(seed),
    policies: PolicySet.create({batch: variant.policy}),
    settings: {...variant.settings, batchWindow: variant.batchWindow ?? 0},
  });
}

function zeroResources(): ResourceVector {
  return {
    processorMillicores: 0,
    memoryBytes: 0,
    accelerators: 0,
    slots: 0,
    connections: 0,
  };
}

function addScaled(
  target: ResourceVector,
  amounts: ResourceVector,
  factor: number,
): void {
  for (const name of RESOURCE_NAMES) target[name] += amounts[name] * factor;
}

function percent(share: number): string {
  return (100 * share).toFixed(1);
}
