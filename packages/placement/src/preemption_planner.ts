import type {RandomSource} from '@cardamomfield/clock';
import type {ServiceIndex} from './service_index.js';
import type {TaskRecord} from './task_record.js';
import type {Vector} from './vector.js';
import {Vectors} from './vectors.js';
import type {WorkerRecord} from './worker_record.js';

/** Workers whose batch tasks are compared before one is chosen. */
const MAXIMUM_CANDIDATES = 16;

/** Batch tasks to end so that a demand fits on a worker. */
interface PreemptionPlan {
  worker: WorkerRecord;
  victims: TaskRecord[];
  /** Run time that is lost, in milliseconds over all victims. */
  lostRunTime: number;
}

/** Chooses which batch tasks give way to another task. */
export class PreemptionPlanner {
  private constructor(private readonly random: RandomSource) {}

  static create(random: RandomSource): PreemptionPlanner {
    return new PreemptionPlanner(random);
  }

  /** The plan that loses the least run time among a sample of workers. */
  plan(
    index: ServiceIndex,
    demand: Vector,
    accept: (worker: WorkerRecord) => boolean,
    mayEnd: (task: TaskRecord) => boolean,
    now: number,
  ): PreemptionPlan | undefined {
    const candidates = this.sample(index, demand, accept);
    let best: PreemptionPlan | undefined;
    for (const worker of candidates) {
      const victims = chooseVictims(worker, demand, mayEnd);
      if (!victims) continue;
      const lostRunTime = victims.reduce((s, v) => s + now - v.placedAt, 0);
      if (best && best.lostRunTime <= lostRunTime) continue;
      best = {worker, victims, lostRunTime};
    }
    return best;
  }

  /** Starts at a random worker so that preemptions do not pile up on one. */
  private sample(
    index: ServiceIndex,
    demand: Vector,
    accept: (worker: WorkerRecord) => boolean,
  ): WorkerRecord[] {
    const suitable: WorkerRecord[] = [];
    for (const worker of index.workers()) {
      if (!canMakeRoom(worker, demand) || !accept(worker)) continue;
      suitable.push(worker);
    }
    if (suitable.length <= MAXIMUM_CANDIDATES) return suitable;
    const start = this.random.integerBelow(suitable.length);
    return Array.from(
      {length: MAXIMUM_CANDIDATES},
      (_, i) => suitable[(start + i) % suitable.length]!,
    );
  }
}

/** What is free once earmarked tasks run and preempted ones have ended. */
function laterFree(worker: WorkerRecord, d: number): number {
  return (
    worker.usable[d]! -
    worker.reserved[d]! +
    worker.preempting[d]! -
    worker.earmarked[d]!
  );
}

function canMakeRoom(worker: WorkerRecord, demand: Vector): boolean {
  for (let d = 0; d < demand.length; d++) {
    if (laterFree(worker, d) + worker.preemptible[d]! < demand[d]!) {
      return false;
    }
  }
  return true;
}

/** Youngest batch tasks first, then without those that are not needed. */
function chooseVictims(
  worker: WorkerRecord,
  demand: Vector,
  mayEnd: (task: TaskRecord) => boolean,
): TaskRecord[] | undefined {
  const missing = demand.map((amount, d) => amount - laterFree(worker, d));
  const batch = [...worker.tasks.values()]
    .filter(task => task.info.kind === 'batch' && !task.isPreempting)
    .filter(mayEnd)
    .sort((a, b) => b.placedAt - a.placedAt);
  const victims: TaskRecord[] = [];
  for (const task of batch) {
    if (isCovered(missing)) break;
    victims.push(task);
    Vectors.subtract(missing, task.reserved);
  }
  if (!isCovered(missing)) return undefined;
  return victims.filter(task => !isSpared(task, missing));
}

/** Spares a victim when the others free enough without it. */
function isSpared(task: TaskRecord, missing: Vector): boolean {
  Vectors.add(missing, task.reserved);
  if (isCovered(missing)) return true;
  Vectors.subtract(missing, task.reserved);
  return false;
}

function isCovered(missing: Vector): boolean {
  return missing.every(amount => amount <= 0);
}
