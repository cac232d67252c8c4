import {type RandomSource, SeededRandomSource} from '@cardamomfield/clock';
import {
  type Job,
  NaiveScheduler,
  OwnerScheduler,
} from '@cardamomfield/placement';
import type {TaskIdentity, WorkKind} from '@cardamomfield/types';
import {build} from 'hdr-histogram-js';
import type {DecisionMaker} from './decision_maker.js';
import {inventory} from './inventory.js';
import {printTable} from './print_table.js';
import {SimulatedClock} from './simulated_clock.js';
import {TaskShapes} from './task_shapes.js';

const SIZES = [33, 330, 3_300];
const WARM_UP = 5_000;
const MEASURED = 30_000;
/** Simulated time between two arrivals. */
const STEP_MILLISECONDS = 1;
const HOUR = 3_600_000;
const TEAMS = 90;
const NANOSECONDS_PER_MICROSECOND = 1_000;

interface Result {
  placementsPerSecond: number;
  p50: number;
  p99: number;
  p999: number;
}

/**
 * Replaces one random running task by one new job at a time, with all workers
 * nearly full, and measures each decision: accepting the job and choosing its
 * worker, and freeing the old task.
 */
export function measureDecisionTimes(seed: number): void {
  const rows = [
    ['workers', 'scheduler', 'placements/s', 'p50 us', 'p99 us', 'p99.9 us'],
  ];
  for (const size of SIZES) {
    const clock = SimulatedClock.create();
    const indexed = OwnerScheduler.create({
      clock,
      random: SeededRandomSource.create(seed),
    });
    const naive = NaiveScheduler.create(SimulatedClock.create());
    const ours = run(indexed, clock, size, seed);
    const theirs = run(naive, SimulatedClock.create(), size, seed);
    rows.push(row(size, 'indexed', ours), row(size, 'naive', theirs));
    rows.push([
      '',
      'ratio',
      (ours.placementsPerSecond / theirs.placementsPerSecond).toFixed(2),
      (ours.p50 / theirs.p50).toFixed(2),
      (ours.p99 / theirs.p99).toFixed(2),
      (ours.p999 / theirs.p999).toFixed(2),
    ]);
  }
  printTable('Decision time, one process, one core', rows);
}

function run(
  scheduler: DecisionMaker,
  clock: SimulatedClock,
  size: number,
  seed: number,
): Result {
  const random = SeededRandomSource.create(seed);
  const shapes = TaskShapes.create(random);
  const running: TaskIdentity[] = [];
  for (const worker of inventory(size)) scheduler.setWorker(worker);
  let sequence = 0;
  const next = () => nextJob(`job-${sequence++}`, shapes, random, clock);
  fill(scheduler, running, next);
  const histogram = build({numberOfSignificantValueDigits: 3});
  let placements = 0;
  let spent = 0;
  for (let n = 0; n < WARM_UP + MEASURED; n++) {
    clock.now += STEP_MILLISECONDS;
    const ended = takeRandom(running, random);
    const job = next();
    const start = process.hrtime.bigint();
    if (ended) scheduler.release(ended);
    scheduler.enqueue(job);
    const decisions = scheduler.schedule(100);
    const elapsed = Number(process.hrtime.bigint() - start);
    let placed = 0;
    for (const decision of decisions) {
      if (decision.type === 'preempt') scheduler.release(decision.task);
      if (decision.type !== 'place') continue;
      running.push(decision.task);
      placed++;
    }
    if (n < WARM_UP) continue;
    placements += placed;
    spent += elapsed;
    histogram.recordValue(elapsed);
  }
  const micro = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / NANOSECONDS_PER_MICROSECOND;
  return {
    placementsPerSecond: placements / (spent / 1e9),
    p50: micro(50),
    p99: micro(99),
    p999: micro(99.9),
  };
}

/** Fills the workers until jobs wait, then ends a tenth of the tasks. */
function fill(
  scheduler: DecisionMaker,
  running: TaskIdentity[],
  next: () => Job,
): void {
  for (;;) {
    scheduler.enqueue({...next(), kind: 'interactive'});
    const decisions = scheduler.schedule(1);
    if (decisions.length === 0) break;
    for (const decision of decisions) {
      if (decision.type === 'place') running.push(decision.task);
    }
  }
  const ended = running.splice(0, Math.ceil(running.length / 10));
  for (const task of ended) scheduler.release(task);
}

function nextJob(
  key: string,
  shapes: TaskShapes,
  random: RandomSource,
  clock: SimulatedClock,
): Job {
  return {
    key,
    team: `team-${random.integerBelow(TEAMS)}`,
    service: 'work',
    kind: drawKind(random),
    demand: shapes.draw().need,
    taskCount: 1,
    deadline: clock.wallNow() + HOUR,
    declaredRunMilliseconds: 1_000,
    attempt: 1,
  };
}

function drawKind(random: RandomSource): WorkKind {
  const point = random.fraction();
  if (point < 0.02) return 'urgent';
  if (point < 0.42) return 'interactive';
  return point < 0.5 ? 'service' : 'batch';
}

function takeRandom(
  running: TaskIdentity[],
  random: RandomSource,
): TaskIdentity | undefined {
  if (running.length === 0) return undefined;
  const place = random.integerBelow(running.length);
  const task = running[place]!;
  running[place] = running[running.length - 1]!;
  running.pop();
  return task;
}

function row(size: number, name: string, result: Result): string[] {
  return [
    String(size),
    name,
    result.placementsPerSecond.toFixed(0),
    result.p50.toFixed(1),
    result.p99.toFixed(1),
    result.p999.toFixed(1),
  ];
}
