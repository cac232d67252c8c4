import type {StepSpecification} from '@cardamomfield/cell-model';
import type {StepState} from './step_state.js';
import type {TaskState} from './task_state.js';
import type {WorkerExclusion} from './worker_exclusion.js';
import type {WorkerState} from './worker_state.js';

/**
 * Cost of each best-effort task that shares a worker with a serving task, in
 * free millicores.
 */
const INTERFERENCE_COST_MILLICORES = 40_000;

/**
 * Cost of a rack other than the preferred one where the penalty is not known, in
 * free millicores. The worker on which the task failed last costs the same.
 */
const FAR_RACK_COST_MILLICORES = 100_000;

/** Cost of a worker whose loss would be noticed late, for lasting tasks. */
const LONG_LEASE_COST_MILLICORES = 100_000;

/**
 * Cost of an expected extra time as long as the run itself, in free millicores.
 * It equals that of a far rack, where tasks take about twice as long.
 */
const EXTRA_RUN_COST_MILLICORES = 100_000;

/**
 * Added to the cost of any worker that is not like the others, in free
 * millicores, so that it comes after others whatever is free on them.
 */
const UNEVEN_COST_MILLICORES = 40_000;

/** Assumed length of a run that has no end. */
const LASTING_RUN_MILLISECONDS = 10_000;

/** Expected extra time from which a task waits for another worker, in run times. */
const MINIMUM_AVOIDED_EXTRA_RUNS = 0.5;

/**
 * Longest such wait. Work must not wait for 3 s beside free capacity, and waits
 * for a nearby worker may take half of that.
 */
const MAXIMUM_AVOIDANCE_MILLISECONDS = 1_000;

/** Chooses a worker for a task among those that may run it. */
export class WorkerChoice {
  private constructor(private readonly farPlacePenalty: number) {}

  /**
   * `farPlacePenalty` is the factor on the run times of tasks away from their
   * data or their group; 1 when not known.
   */
  static create(farPlacePenalty = 1): WorkerChoice {
    return new WorkerChoice(farPlacePenalty);
  }

  /** True when the worker has capacity and no rule of the step excludes it. */
  isAllowed(
    step: StepState,
    task: TaskState,
    worker: WorkerState,
    now: number,
  ): boolean {
    if (!this.isEligible(step, worker, now)) return false;
    if (worker.runs.has(task.name)) return false;
    if (this.avoidedUntil(step, task, worker, now) > now) return false;
    return this.hasCapacity(step, worker);
  }

  /** Why `isAllowed` is false, for people; undefined when it is true. */
  exclusionOf(
    step: StepState,
    task: TaskState,
    worker: WorkerState,
    now: number,
  ): WorkerExclusion | undefined {
    if (this.isAllowed(step, task, worker, now)) return undefined;
    const {description, judgement} = worker;
    if (description.service !== step.submission.queue.service) {
      return 'other-service';
    }
    if (description.state !== 'ready') return 'not-ready';
    if (!worker.isUsable) return 'not-reachable';
    if (!worker.isListed) return 'not-listed';
    if (worker.avoidUntil > now) return 'failed-repeatedly';
    if (judgement.probeNotBefore > now) return 'probe-delayed';
    if (!hasProbeRoom(worker)) return 'probe-running';
    if (!this.hasLabel(step, worker)) return 'label-missing';
    if (isReservedForOther(step, worker, now)) {
      return 'reserved-for-another-step';
    }
    if (!this.isEligible(step, worker, now)) return 'maximum-per-worker';
    if (worker.runs.has(task.name)) return 'earlier-run';
    const {specification} = step;
    const need = specification.usesSpareCapacity ? 0 : specification.milliCores;
    if (countFits(worker.freeMilliCores, need) === 0) {
      return 'not-enough-processor';
    }
    if (
      countFits(worker.freeMemoryMegabytes, specification.memoryMegabytes) === 0
    ) {
      return 'not-enough-memory';
    }
    if (countFits(worker.freeAccelerators, specification.accelerators) === 0) {
      return 'not-enough-accelerators';
    }
    return 'avoided-as-uneven';
  }

  /** True when the worker may take tasks of the step, capacity aside. */
  isEligible(step: StepState, worker: WorkerState, now: number): boolean {
    if (!this.isOpenTo(step, worker, now)) return false;
    const {maximumPerWorker} = step.specification;
    return maximumPerWorker === 0 || step.countOn(worker) < maximumPerWorker;
  }

  /**
   * True when the worker takes tasks of the step, its capacity and the step's
   * limit per worker aside.
   */
  isOpenTo(step: StepState, worker: WorkerState, now: number): boolean {
    if (!worker.isUsable || !worker.isListed) return false;
    if (worker.avoidUntil > now) return false;
    if (worker.judgement.probeNotBefore > now) return false;
    if (!hasProbeRoom(worker)) return false;
    if (worker.description.state !== 'ready') return false;
    if (worker.description.service !== step.submission.queue.service) {
      return false;
    }
    if (isReservedForOther(step, worker, now)) return false;
    return this.hasLabel(step, worker);
  }

  /**
   * Time until which a task is not placed on a slow or failing worker: while it
   * has not waited for as long as that worker is expected to cost it. Other
   * capacity usually gets free before that.
   */
  avoidedUntil(
    step: StepState,
    task: TaskState,
    {judgement, reservedFor, reservedUntil}: WorkerState,
    now: number,
  ): number {
    if (!judgement.isUneven) return -Infinity;
    // Capacity that was freed for the step would stay empty meanwhile.
    if (reservedFor === step && reservedUntil > now) return -Infinity;
    // Another failure could use up the attempts of the task.
    if (
      task.failures > 0 &&
      (judgement.isFailing || judgement.failureShare > 0)
    ) {
      return task.notBefore + MAXIMUM_AVOIDANCE_MILLISECONDS;
    }
    const {extraRuns} = judgement;
    if (extraRuns < MINIMUM_AVOIDED_EXTRA_RUNS) return -Infinity;
    const extraMilliseconds = extraRuns * runMilliseconds(step.specification);
    return (
      task.notBefore +
      Math.min(extraMilliseconds, MAXIMUM_AVOIDANCE_MILLISECONDS)
    );
  }

  hasLabel(step: StepState, worker: WorkerState): boolean {
    const {requiredLabel} = step.specification;
    return (
      requiredLabel === '' || worker.description.labels.includes(requiredLabel)
    );
  }

  /** True when another task of the step may be placed on the worker. */
  mayTakeMore(step: StepState, worker: WorkerState): boolean {
    if (!hasProbeRoom(worker)) return false;
    const {maximumPerWorker} = step.specification;
    if (maximumPerWorker > 0 && step.countOn(worker) >= maximumPerWorker) {
      return false;
    }
    return this.hasCapacity(step, worker);
  }

  hasCapacity(step: StepState, worker: WorkerState): boolean {
    return this.fitCount(step, worker) > 0;
  }

  /** Number of tasks of the step that fit into the worker's free capacity. */
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
      worker.judgement.isFailing ? 1 : Infinity,
    );
  }

  /**
   * Cost of the extra time that a run is expected to take on the worker, in free
   * millicores; 0 on even workers.
   */
  unevenCost(step: StepState, worker: WorkerState): number {
    if (!worker.judgement.isUneven) return 0;
    return extraTimeCost(this.timeFactor(step, worker));
  }

  /** Expected factor on the time of a run on the worker, its rack aside. */
  timeFactor({specification}: StepState, {judgement}: WorkerState): number {
    if (!judgement.isUneven) return 1;
    return 1 + judgement.extraRunsFor(runMilliseconds(specification));
  }

  /** The allowed worker with the lowest cost; undefined when there is none. */
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

  /** Cost of a worker that is not like the others, or in another rack. */
  private placeCost(
    step: StepState,
    worker: WorkerState,
    isFar: boolean,
  ): number {
    if (!isFar) return this.unevenCost(step, worker);
    if (this.farPlacePenalty <= 1) {
      return this.unevenCost(step, worker) + FAR_RACK_COST_MILLICORES;
    }
    return extraTimeCost(this.farPlacePenalty * this.timeFactor(step, worker));
  }

  private cost(
    step: StepState,
    task: TaskState,
    worker: WorkerState,
    preferredRack: string,
  ): number {
    const {specification} = step;
    const rack = specification.dataRack || preferredRack;
    const isFar = rack !== '' && worker.rack !== rack;
    let cost = this.placeCost(step, worker, isFar);
    if (task.lastFailedWorkerId === worker.id) cost += FAR_RACK_COST_MILLICORES;
    if (specification.isService && worker.mayHoldLongLease) {
      cost += LONG_LEASE_COST_MILLICORES;
    }
    const spreads = specification.usesSpareCapacity || specification.isService;
    cost += spreads ? -worker.freeMilliCores : worker.freeMilliCores;
    if (specification.usesSpareCapacity) {
      cost += INTERFERENCE_COST_MILLICORES * countServing(worker);
    }
    if (specification.tailTargetMilliseconds > 0) {
      cost += INTERFERENCE_COST_MILLICORES * countBestEffort(worker);
    }
    return cost;
  }
}

/** Cost of a run that takes the given factor of the usual time. */
function extraTimeCost(factor: number): number {
  return UNEVEN_COST_MILLICORES + EXTRA_RUN_COST_MILLICORES * (factor - 1);
}

function countFits(free: number, need: number): number {
  if (need === 0) return free >= 0 ? Infinity : 0;
  return Math.max(0, Math.floor(free / need));
}

function isReservedForOther(
  step: StepState,
  worker: WorkerState,
  now: number,
): boolean {
  const holder = worker.reservedFor;
  if (!holder || holder === step || worker.reservedUntil <= now) return false;
  // Only steps of lower priority are kept out. Others may use the reserved
  // capacity when the pass reaches them.
  if (holder.tasks.every(task => task.phase !== 'waiting')) return false;
  return holder.submission.queue.priority < step.submission.queue.priority;
}

/** True unless a worker that fails runs its probe. */
function hasProbeRoom({judgement, runs}: WorkerState): boolean {
  if (!judgement.isFailing) return true;
  for (const run of runs.values()) {
    if (judgement.isProbe(run)) return false;
  }
  return true;
}

function runMilliseconds(specification: StepSpecification): number {
  return specification.isService
    ? LASTING_RUN_MILLISECONDS
    : Math.max(1, specification.estimatedMilliseconds);
}

function countServing(worker: WorkerState): number {
  let count = 0;
  for (const run of worker.runs.values()) {
    if (run.step.specification.tailTargetMilliseconds > 0) count++;
  }
  return count;
}

function countBestEffort(worker: WorkerState): number {
  let count = 0;
  for (const run of worker.runs.values()) {
    if (run.step.specification.usesSpareCapacity) count++;
  }
  return count;
}
