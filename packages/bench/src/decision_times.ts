import {type RandomSource, SeededRandomSource} from '@cardamomfield/clock';
import {
  type Job,
  NaiveScheduler,
  OwnerScheduler,
} from '@cardamomfield/placement';
import type {TaskIdentity, WorkKind} from '@cardamomfield/types';
import {build} from 'hdr-histogram-js';
import type {Scheduler} from './scheduler.js';
import {inventory} from './inventory.js';
import {printTable} from './print_table.js';
import {SimulatedClock} from './simulated_clock.js';
import {TaskShapes} from './task_shapes.js';

const WORKER_COUNTS = [33, 330, 3_300];
const WARM_UP_STEPS = 5_000;
const MEASURED_STEPS = 30_000;
/** Simulated time between two job arrivals. */
const STEP_MILLISECONDS = 1;
const HOUR = 3_600_000;
const TEAM_COUNT = 90;
const NANOSECONDS_PER_MICROSECOND = 1_000;

interface Result {
  placementsPerSecond: number;
  p50: number;
  p99: number;
  p999: number;
}

/**
 * Measures the time per decision on nearly full workers. Each step replaces one
 * random running task by a new job: it releases the task, accepts the job and
 * selects its worker.
 */
export function measureDecisionTimes(seed: number): void {
  const rows = [
    ['workers', 'scheduler', 'placements/s', 'p50 us', 'p99 us', 'p99.9 us'],
  ];
  for (const size of WORKER_COUNTS) {
    const clock = SimulatedClock.create();
    const indexed = OwnerScheduler.create({
      clock,
      random: SeededRandomSource.create(seed),
    });
    const naive = NaiveScheduler.create(SimulatedClock.create());
    const indexedResult = run(indexed, clock, size, seed);
    const naiveResult = run(naive, SimulatedClock.create(), size, seed);
    rows.push(
      formatRow(size, 'indexed', indexedResult),
      formatRow(size, 'naive', naiveResult),
    );
    rows.push([
      '',
      'ratio',
      (
        indexedResult.placementsPerSecond / naiveResult.placementsPerSecond
      ).toFixed(2),
      (indexedResult.p50 / naiveResult.p50).toFixed(2),
      (indexedResult.p99 / naiveResult.p99).toFixed(2),
      (indexedResult.p999 / naiveResult.p999).toFixed(2),
    ]);
  }
  printTable('Decision time, one process, one core', rows);
}

function run(
  scheduler: Scheduler,
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
  fillWorkers(scheduler, running, next);
  const histogram = build({numberOfSignificantValueDigits: 3});
  let placements = 0;
  let totalElapsed = 0;
  for (let n = 0; n < WARM_UP_STEPS + MEASURED_STEPS; n++) {
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
    if (n < WARM_UP_STEPS) continue;
    placements += placed;
    totalElapsed += elapsed;
    histogram.recordValue(elapsed);
  }
  const microseconds = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / NANOSECONDS_PER_MICROSECOND;
  return {
    placementsPerSecond: placements / (totalElapsed / 1e9),
    p50: microseconds(50),
    p99: microseconds(99),
    p999: microseconds(99.9),
  };
}

/** Fills the workers until jobs wait, then ends a tenth of the tasks. */
function fillWorkers(
  scheduler: Scheduler,
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
    team: `team-${random.integerBelow(TEAM_COUNT)}`,
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
  const position = random.integerBelow(running.length);
  const task = running[position]!;
  running[position] = running[running.length - 1]!;
  running.pop();
  return task;
}

function formatRow(size: number, name: string, result: Result): string[] {
  return [
    String(size),
    name,
    result.placementsPerSecond.toFixed(0),
    result.p50.toFixed(1),
    result.p99.toFixed(1),
    result.p999.toFixed(1),
  ];
}
