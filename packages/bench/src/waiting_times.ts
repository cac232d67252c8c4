import {type RandomSource, SeededRandomSource} from '@cardamomfield/clock';
import {
  type Job,
  NaiveScheduler,
  OwnerScheduler,
} from '@cardamomfield/placement';
import type {ResourceVector, WorkKind} from '@cardamomfield/types';
import {build, type Histogram} from 'hdr-histogram-js';
import {CellSimulation} from './cell_simulation.js';
import type {Scheduler} from './scheduler.js';
import {inventory} from './inventory.js';
import {printTable} from './print_table.js';
import {SimulatedClock} from './simulated_clock.js';

const WORKERS = 33;
const LOADS = [0.5, 0.8, 0.95, 1.2];
const GIGABYTE = 2 ** 30;
const MINUTE = 60_000;
const WARM_UP = 2 * MINUTE;
const END = 7 * MINUTE;
/** Share of the capacity that batch work leaves to other classes. */
const BATCH_HEADROOM = 0.08;

/** One class of the workload; times in milliseconds. */
interface WorkloadClass {
  kind: WorkKind;
  /** Share of the offered load, in processor time. */
  share: number;
  processors: [number, number];
  gigabytes: [number, number];
  runTime: [number, number];
  maximumWait: number;
}

const WORKLOAD_CLASSES: WorkloadClass[] = [
  {
    kind: 'urgent',
    share: 0.02,
    processors: [1, 4],
    gigabytes: [2, 8],
    runTime: [1_000, 10_000],
    maximumWait: 10 * MINUTE,
  },
  {
    kind: 'interactive',
    share: 0.18,
    processors: [1, 2],
    gigabytes: [1, 4],
    runTime: [300, 3_000],
    maximumWait: 10 * MINUTE,
  },
  {
    kind: 'service',
    share: 0.2,
    processors: [1, 4],
    gigabytes: [2, 8],
    runTime: [2 * MINUTE, 6 * MINUTE],
    maximumWait: 60 * MINUTE,
  },
  {
    kind: 'batch',
    share: 0.6,
    processors: [2, 8],
    gigabytes: [4, 16],
    runTime: [10_000, 90_000],
    maximumWait: 60 * MINUTE,
  },
];

/** Measures waiting times per class for both schedulers at several loads. */
export function measureWaitingTimes(seed: number): void {
  const rows = [
    ['load', 'class', 'naive p50', 'p99', 'ours p50', 'p99', 'headroom p50'],
  ];
  rows[0]!.push('p99', 'ratio', 'ratio');
  for (const load of LOADS) {
    const naive = run('naive', load, seed);
    const indexed = run('indexed', load, seed);
    const headroom = run('headroom', load, seed);
    for (const {kind} of WORKLOAD_CLASSES) {
      const histograms = [naive, indexed, headroom].map(waits =>
        waits.get(kind)!,
      );
      const p99s = histograms.map(waits => waits.getValueAtPercentile(99));
      rows.push([
        `${Math.round(load * 100)} %`,
        kind,
        ...histograms.flatMap((waits, i) => [
          String(waits.getValueAtPercentile(50)),
          String(p99s[i]),
        ]),
        (p99s[0]! / Math.max(1, p99s[1]!)).toFixed(1),
        (p99s[0]! / Math.max(1, p99s[2]!)).toFixed(1),
      ]);
    }
  }
  printTable(
    `Waiting time in ms on ${WORKERS} workers; ratios are naive p99 / ours`,
    rows,
  );
}

function run(
  name: 'indexed' | 'headroom' | 'naive',
  load: number,
  seed: number,
): Map<WorkKind, Histogram> {
  const clock = SimulatedClock.create();
  const random = SeededRandomSource.create(seed);
  const scheduler: Scheduler =
    name === 'naive'
      ? NaiveScheduler.create(clock)
      : OwnerScheduler.create({
          clock,
          random: SeededRandomSource.create(seed),
          settings: {batchHeadroom: name === 'headroom' ? BATCH_HEADROOM : 0},
        });
  const workers = inventory(WORKERS);
  const waits = new Map<WorkKind, Histogram>();
  for (const {kind} of WORKLOAD_CLASSES) waits.set(kind, build());
  const submittedAt = new Map<string, number>();
  const runTimes = new Map<string, number>();
  const cell = CellSimulation.create(clock, scheduler, {
    onStart: (job, task) => {
      // Counts only the first start, not starts after a preemption.
      const submitted = submittedAt.get(job.key) ?? -1;
      if (task.attempt === 1 && submitted >= WARM_UP) {
        waits.get(job.kind)!.recordValue(Math.round(clock.now - submitted));
      }
      submittedAt.delete(job.key);
      return runTimes.get(job.key)!;
    },
  });
  cell.addWorkers(workers);
  const processors = workers.reduce(
    (sum, worker) => sum + worker.capacity.processorMillicores,
    0,
  );
  for (const workloadClass of WORKLOAD_CLASSES) {
    scheduleArrival(workloadClass, {
      cell,
      clock,
      random,
      submittedAt,
      runTimes,
      rate:
        (load * workloadClass.share * processors) /
        meanProcessorTime(workloadClass),
    });
  }
  cell.runUntil(END);
  recordUnstarted(submittedAt, waits, clock);
  return waits;
}

interface ArrivalContext {
  cell: CellSimulation;
  clock: SimulatedClock;
  random: RandomSource;
  submittedAt: Map<string, number>;
  runTimes: Map<string, number>;
  /** Arrivals per millisecond. */
  rate: number;
}

function scheduleArrival(
  workloadClass: WorkloadClass,
  context: ArrivalContext,
): void {
  const {cell, clock, random, rate} = context;
  const wait = -Math.log(1 - random.fraction()) / rate;
  const time = clock.now + wait;
  if (time > END) return;
  cell.scheduleAt(time, () => {
    const job = createJob(workloadClass, context);
    context.submittedAt.set(job.key, clock.now);
    context.runTimes.set(job.key, drawBetween(random, workloadClass.runTime));
    cell.submit(job);
    scheduleArrival(workloadClass, context);
  });
}

function createJob(workloadClass: WorkloadClass, context: ArrivalContext): Job {
  const {clock, random, runTimes} = context;
  return {
    key: `${workloadClass.kind}-${runTimes.size}`,
    team: `team-${random.integerBelow(10)}`,
    service: 'work',
    kind: workloadClass.kind,
    demand: drawDemand(workloadClass, random),
    taskCount: 1,
    deadline: clock.wallNow() + workloadClass.maximumWait,
    declaredRunMilliseconds: 1_000,
    attempt: 1,
  };
}

function drawDemand(
  workloadClass: WorkloadClass,
  random: RandomSource,
): ResourceVector {
  return {
    processorMillicores: Math.round(
      1_000 * drawBetween(random, workloadClass.processors),
    ),
    memoryBytes: Math.round(
      GIGABYTE * drawBetween(random, workloadClass.gigabytes),
    ),
    accelerators: 0,
    slots: 1,
    connections: 1,
  };
}

/** Records jobs that have not started as waiting until the end. */
function recordUnstarted(
  submittedAt: Map<string, number>,
  waits: Map<WorkKind, Histogram>,
  clock: SimulatedClock,
): void {
  for (const [key, submitted] of submittedAt) {
    if (submitted < WARM_UP) continue;
    const kind = key.slice(0, key.indexOf('-')) as WorkKind;
    waits.get(kind)!.recordValue(Math.round(clock.now - submitted));
  }
}

function meanProcessorTime(workloadClass: WorkloadClass): number {
  const mean = ([least, most]: [number, number]) => (least + most) / 2;
  return 1_000 * mean(workloadClass.processors) * mean(workloadClass.runTime);
}

function drawBetween(
  random: RandomSource,
  [least, most]: [number, number],
): number {
  return least + random.fraction() * (most - least);
}
