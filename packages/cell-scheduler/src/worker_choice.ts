import type {StepState} from './step_state.js';
import type {TaskState} from './task_state.js';
import type {WorkerState} from './worker_state.js';

/** Cost of each fill task beside a serving task, in free millicores. */
const INTERFERENCE_COST_MILLICORES = 40_000;

/** Cost of a rack other than the one that is wanted, in free millicores. */
const FAR_RACK_COST_MILLICORES = 100_000;

/** Chooses a worker for a task among those that may run it. */
export class WorkerChoice {
  private constructor() {}

  static create(): WorkerChoice {
    return new WorkerChoice();
  }

  /** True when the worker has room and no rule of the step forbids it. */
  isAllowed(
    step: StepState,
    task: TaskState,
    worker: WorkerState,
    now: number,
  ): boolean {
    if (!this.mayServe(step, worker, now)) return false;
    if (worker.runs.has(task.name)) return false;
    return this.hasRoom(step, worker);
  }

  /** True when the worker may take tasks of the step, room aside. */
  mayServe(step: StepState, worker: WorkerState, now: number): boolean {
    if (!worker.isUsable || !worker.isListed) return false;
    if (worker.avoidUntil > now) return false;
    if (worker.description.state !== 'ready') return false;
    if (worker.description.service !== step.submission.queue.service) {
      return false;
    }
    if (isHeldForOther(step, worker, now)) return false;
    if (!this.hasLabel(step, worker)) return false;
    const {maximumPerWorker} = step.specification;
    return maximumPerWorker === 0 || step.countOn(worker.id) < maximumPerWorker;
  }

  hasLabel(step: StepState, worker: WorkerState): boolean {
    const {requiredLabel} = step.specification;
    return (
      requiredLabel === '' || worker.description.labels.includes(requiredLabel)
    );
  }

  /** False when no further task of the step may go to the worker. */
  mayTakeMore(step: StepState, worker: WorkerState): boolean {
    const {maximumPerWorker} = step.specification;
    if (maximumPerWorker > 0 && step.countOn(worker.id) >= maximumPerWorker) {
      return false;
    }
    return this.hasRoom(step, worker);
  }

  hasRoom(step: StepState, worker: WorkerState): boolean {
    return this.fitCount(step, worker) > 0;
  }

  /** How many tasks of the step fit beside what the worker has. */
  fitCount(step: StepState, worker: WorkerState): number {
    const {specification} = step;
    return Math.min(
      countFits(
        worker.freeMilliCores,
        specification.usesSpareCapacity ? 0 : specification.milliCores,
      ),
      countFits(worker.freeMemoryMegabytes, specification.memoryMegabytes),
      countFits(worker.freeAccelerators, specification.accelerators),
      specification.maximumPerWorker || Infinity,
    );
  }

  /** The best of the allowed workers; undefined when there is none. */
  choose(
    step: StepState,
    task: TaskState,
    allowed: WorkerState[],
    preferredRack: string,
  ): WorkerState | undefined {
    let best: WorkerState | undefined;
    let bestCost = Infinity;
    for (const worker of allowed) {
      const cost = this.cost(step, task, worker, preferredRack);
      if (cost < bestCost) {
        best = worker;
        bestCost = cost;
      }
    }
    return best;
  }

  private cost(
    step: StepState,
    task: TaskState,
    worker: WorkerState,
    preferredRack: string,
  ): number {
    const {specification} = step;
    const rack = specification.dataRack || preferredRack;
    let cost = 0;
    if (rack !== '' && worker.rack !== rack) cost += FAR_RACK_COST_MILLICORES;
    if (task.lastFailedWorkerId === worker.id) cost += FAR_RACK_COST_MILLICORES;
    const spreads = specification.usesSpareCapacity || specification.isService;
    cost += spreads ? -worker.freeMilliCores : worker.freeMilliCores;
    if (specification.usesSpareCapacity) {
      cost += INTERFERENCE_COST_MILLICORES * countServing(worker);
    }
    if (specification.tailTargetMilliseconds > 0) {
      cost += INTERFERENCE_COST_MILLICORES * countFilling(worker);
    }
    return cost;
  }
}

function countFits(free: number, need: number): number {
  if (need === 0) return free >= 0 ? Infinity : 0;
  return Math.max(0, Math.floor(free / need));
}

function isHeldForOther(
  step: StepState,
  worker: WorkerState,
  now: number,
): boolean {
  const holder = worker.heldFor;
  if (!holder || holder === step || worker.heldUntil <= now) return false;
  // Equals are served in their order; only lower work is kept out.
  if (holder.tasks.every(task => task.phase !== 'waiting')) return false;
  return holder.submission.queue.priority < step.submission.queue.priority;
}

function countServing(worker: WorkerState): number {
  let count = 0;
  for (const run of worker.runs.values()) {
    if (run.step.specification.tailTargetMilliseconds > 0) count++;
  }
  return count;
}

function countFilling(worker: WorkerState): number {
  let count = 0;
  for (const run of worker.runs.values()) {
    if (run.step.specification.usesSpareCapacity) count++;
  }
  return count;
}
