import type {RandomSource} from '@cardamomfield/clock';
import type {ServiceIndex} from './service_index.js';
import type {TaskRecord} from './task_record.js';
import type {Vector} from './vector.js';
import {Vectors} from './vectors.js';
import type {WorkerRecord} from './worker_record.js';

/** Maximum number of workers that are compared for one preemption. */
const MAXIMUM_CANDIDATES = 16;

/** Batch tasks to preempt so that a demand fits on a worker. */
interface PreemptionPlan {
  worker: WorkerRecord;
  victims: TaskRecord[];
  /** Lost run time in milliseconds, summed over all victims. */
  lostRunTime: number;
}

/** Chooses which batch tasks to preempt for another task. */
export class PreemptionPlanner {
  private constructor(private readonly random: RandomSource) {}

  static create(random: RandomSource): PreemptionPlanner {
    return new PreemptionPlanner(random);
  }

  /** The plan with the least lost run time among a sample of workers. */
  plan(
    index: ServiceIndex,
    demand: Vector,
    accept: (worker: WorkerRecord) => boolean,
    mayPreempt: (task: TaskRecord) => boolean,
    now: number,
  ): PreemptionPlan | undefined {
    const candidates = this.sample(index, demand, accept);
    let best: PreemptionPlan | undefined;
    for (const worker of candidates) {
      const victims = chooseVictims(worker, demand, mayPreempt);
      if (!victims) continue;
      const lostRunTime = victims.reduce((s, v) => s + now - v.placedAt, 0);
      if (best && best.lostRunTime <= lostRunTime) continue;
      best = {worker, victims, lostRunTime};
    }
    return best;
  }

  /**
   * Starts at a random worker so that preemptions are not concentrated on the
   * same workers.
   */
  private sample(
    index: ServiceIndex,
    demand: Vector,
    accept: (worker: WorkerRecord) => boolean,
  ): WorkerRecord[] {
    const suitable: WorkerRecord[] = [];
    for (const worker of index.workers()) {
      if (!canFreeCapacity(worker, demand) || !accept(worker)) continue;
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

/**
 * Free amount once the earmarked tasks have started and the preempted ones
 * have ended.
 */
function projectedFree(worker: WorkerRecord, d: number): number {
  return (
    worker.usable[d]! -
    worker.reserved[d]! +
    worker.preempting[d]! -
    worker.earmarked[d]!
  );
}

function canFreeCapacity(worker: WorkerRecord, demand: Vector): boolean {
  for (let d = 0; d < demand.length; d++) {
    if (projectedFree(worker, d) + worker.preemptible[d]! < demand[d]!) {
      return false;
    }
  }
  return true;
}

/**
 * Adds the youngest batch tasks until the demand fits, then removes those that
 * are not needed.
 */
function chooseVictims(
  worker: WorkerRecord,
  demand: Vector,
  mayPreempt: (task: TaskRecord) => boolean,
): TaskRecord[] | undefined {
  const shortfall = demand.map(
    (amount, d) => amount - projectedFree(worker, d),
  );
  const batch = [...worker.tasks.values()]
    .filter(task => task.info.kind === 'batch' && !task.isPreempting)
    .filter(mayPreempt)
    .sort((a, b) => b.placedAt - a.placedAt);
  const victims: TaskRecord[] = [];
  for (const task of batch) {
    if (isCovered(shortfall)) break;
    victims.push(task);
    Vectors.subtract(shortfall, task.reserved);
  }
  if (!isCovered(shortfall)) return undefined;
  return victims.filter(task => !spareIfUnneeded(task, shortfall));
}

/**
 * Whether the other victims free enough without this one. If so, its amount is
 * added back to the shortfall.
 */
function spareIfUnneeded(task: TaskRecord, shortfall: Vector): boolean {
  Vectors.add(shortfall, task.reserved);
  if (isCovered(shortfall)) return true;
  Vectors.subtract(shortfall, task.reserved);
  return false;
}

function isCovered(shortfall: Vector): boolean {
  return shortfall.every(amount => amount <= 0);
}
