import {type RandomSource, SeededRandomSource} from '@cardamomfield/clock';
import {
  type Job,
  NaiveScheduler,
  OwnerScheduler,
} from '@cardamomfield/placement';
import type {ResourceVector, WorkKind} from '@cardamomfield/types';
import {build, type Histogram} from 'hdr-histogram-js';
import {CellSimulation} from './cell_simulation.js';
import type {DecisionMaker} from './decision_maker.js';
import {inventory} from './inventory.js';
import {printTable} from './print_table.js';
import {SimulatedClock} from './simulated_clock.js';

const WORKERS = 33;
const LOADS = [0.5, 0.8, 0.95, 1.2];
const GIGABYTE = 2 ** 30;
const MINUTE = 60_000;
const WARM_UP = 2 * MINUTE;
const END = 7 * MINUTE;
/** Part of the capacity that batch work leaves to other classes. */
const HEADROOM = 0.08;

/** One class of the workload; times in milliseconds. */
interface Stream {
  kind: WorkKind;
  /** Part of the offered load, in processor time. */
  part: number;
  processors: [number, number];
  gigabytes: [number, number];
  runTime: [number, number];
  patience: number;
}

const STREAMS: Stream[] = [
  {
    kind: 'urgent',
    part: 0.02,
    processors: [1, 4],
    gigabytes: [2, 8],
    runTime: [1_000, 10_000],
    patience: 10 * MINUTE,
  },
  {
    kind: 'interactive',
    part: 0.18,
    processors: [1, 2],
    gigabytes: [1, 4],
    runTime: [300, 3_000],
    patience: 10 * MINUTE,
  },
  {
    kind: 'service',
    part: 0.2,
    processors: [1, 4],
    gigabytes: [2, 8],
    runTime: [2 * MINUTE, 6 * MINUTE],
    patience: 60 * MINUTE,
  },
  {
    kind: 'batch',
    part: 0.6,
    processors: [2, 8],
    gigabytes: [4, 16],
    runTime: [10_000, 90_000],
    patience: 60 * MINUTE,
  },
];

/** Waiting time by class, at several loads, of both schedulers. */
export function measureWaitingTimes(seed: number): void {
  const rows = [
    ['load', 'class', 'naive p50', 'p99', 'ours p50', 'p99', 'headroom p50'],
  ];
  rows[0]!.push('p99', 'ratio', 'ratio');
  for (const load of LOADS) {
    const naive = run('naive', load, seed);
    const plain = run('indexed', load, seed);
    const headroom = run('headroom', load, seed);
    for (const {kind} of STREAMS) {
      const all = [naive, plain, headroom].map(waits => waits.get(kind)!);
      const worst = all.map(waits => waits.getValueAtPercentile(99));
      rows.push([
        `${Math.round(load * 100)} %`,
        kind,
        ...all.flatMap((waits, i) => [
          String(waits.getValueAtPercentile(50)),
          String(worst[i]),
        ]),
        (worst[0]! / Math.max(1, worst[1]!)).toFixed(1),
        (worst[0]! / Math.max(1, worst[2]!)).toFixed(1),
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
  const scheduler: DecisionMaker =
    name === 'naive'
      ? NaiveScheduler.create(clock)
      : OwnerScheduler.create({
          clock,
          random: SeededRandomSource.create(seed),
          settings: {batchHeadroom: name === 'headroom' ? HEADROOM : 0},
        });
  const workers = inventory(WORKERS);
  const waits = new Map<WorkKind, Histogram>();
  for (const {kind} of STREAMS) waits.set(kind, build());
  const submittedAt = new Map<string, number>();
  const runTimes = new Map<string, number>();
  const cell = CellSimulation.create(clock, scheduler, {
    onStart: (job, task) => {
      // Only the first start counts, not those after a preemption.
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
  for (const stream of STREAMS) {
    arrive(stream, {
      cell,
      clock,
      random,
      submittedAt,
      runTimes,
      rate: (load * stream.part * processors) / meanWork(stream),
    });
  }
  cell.runUntil(END);
  recordUnstarted(submittedAt, waits, clock);
  return waits;
}

interface Arrivals {
  cell: CellSimulation;
  clock: SimulatedClock;
  random: RandomSource;
  submittedAt: Map<string, number>;
  runTimes: Map<string, number>;
  /** Arrivals a millisecond. */
  rate: number;
}

function arrive(stream: Stream, arrivals: Arrivals): void {
  const {cell, clock, random, rate} = arrivals;
  const wait = -Math.log(1 - random.fraction()) / rate;
  const time = clock.now + wait;
  if (time > END) return;
  cell.at(time, () => {
    const job = createJob(stream, arrivals);
    arrivals.submittedAt.set(job.key, clock.now);
    arrivals.runTimes.set(job.key, between(random, stream.runTime));
    cell.submit(job);
    arrive(stream, arrivals);
  });
}

function createJob(stream: Stream, arrivals: Arrivals): Job {
  const {clock, random, runTimes} = arrivals;
  return {
    key: `${stream.kind}-${runTimes.size}`,
    team: `team-${random.integerBelow(10)}`,
    service: 'work',
    kind: stream.kind,
    demand: need(stream, random),
    taskCount: 1,
    deadline: clock.wallNow() + stream.patience,
    declaredRunMilliseconds: 1_000,
    attempt: 1,
  };
}

function need(stream: Stream, random: RandomSource): ResourceVector {
  return {
    processorMillicores: Math.round(1_000 * between(random, stream.processors)),
    memoryBytes: Math.round(GIGABYTE * between(random, stream.gigabytes)),
    accelerators: 0,
    slots: 1,
    connections: 1,
  };
}

/** Jobs that have not started by the end have waited until then. */
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

function meanWork(stream: Stream): number {
  const mean = ([least, most]: [number, number]) => (least + most) / 2;
  return 1_000 * mean(stream.processors) * mean(stream.runTime);
}

function between(
  random: RandomSource,
  [least, most]: [number, number],
): number {
  return least + random.fraction() * (most - least);
}
