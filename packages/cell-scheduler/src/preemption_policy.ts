import type {Run} from './run.js';
import type {StepState} from './step_state.js';
import type {WorkerChoice} from './worker_choice.js';
import type {WorkerState} from './worker_state.js';

/** A service task without room waits this long before others make way. */
const SERVICE_WAIT_MILLISECONDS = 400;

/** Any other task without room waits this long before others make way. */
const WAIT_MILLISECONDS = 120;

/** Room that was made for a step is kept for it this long. */
const HOLD_MILLISECONDS = 2_500;

/**
 * A step for which no room could be made is tried again after this pause, short
 * against the waits above; each try goes over all runs of the cell.
 */
const RETRY_MILLISECONDS = 100;

/**
 * Makes room for tasks that wait although they come before tasks that run:
 * services that lost a task, and urgent work in a full cell.
 */
export class PreemptionPolicy {
  private constructor(private readonly choice: WorkerChoice) {}

  static create(choice: WorkerChoice): PreemptionPolicy {
    return new PreemptionPolicy(choice);
  }

  /**
   * The runs to stop so that waiting tasks of the step fit. The workers are
   * held for the step until it had time to take the room.
   */
  makeRoom(
    step: StepState,
    waitingCount: number,
    workers: WorkerState[],
    now: number,
  ): Run[] {
    if (step.specification.isGang || step.preemptedUntil > now) return [];
    if (step.preemptionTriedUntil > now) return [];
    const limit = step.specification.isService
      ? SERVICE_WAIT_MILLISECONDS
      : WAIT_MILLISECONDS;
    const hasWaited = step.tasks.some(
      task => task.phase === 'waiting' && now - task.notBefore > limit,
    );
    if (!hasWaited) return [];
    const victims: Run[] = [];
    let needed = waitingCount;
    for (const {worker, runs} of this.cheapest(step, workers, now)) {
      if (needed === 0) break;
      needed--;
      worker.heldFor = step;
      worker.heldUntil = now + HOLD_MILLISECONDS;
      victims.push(...runs);
    }
    if (victims.length > 0) step.preemptedUntil = now + HOLD_MILLISECONDS;
    else step.preemptionTriedUntil = now + RETRY_MILLISECONDS;
    return victims;
  }

  /** Workers on which room for one task can be made, least lost work first. */
  private cheapest(
    step: StepState,
    workers: WorkerState[],
    now: number,
  ): Array<{worker: WorkerState; runs: Run[]}> {
    const candidates: Array<{worker: WorkerState; runs: Run[]; cost: number}> =
      [];
    for (const worker of workers) {
      if (!this.choice.mayServe(step, worker, now)) continue;
      const runs = this.victimsOn(step, worker, now);
      if (!runs) continue;
      const cost = runs.reduce((sum, run) => sum + lostWork(run, now), 0);
      candidates.push({worker, runs, cost});
    }
    return candidates.sort((a, b) => a.cost - b.cost);
  }

  /** The runs on a worker whose end makes room for one task of the step. */
  private victimsOn(
    step: StepState,
    worker: WorkerState,
    now: number,
  ): Run[] | undefined {
    const {specification} = step;
    let milliCores = specification.usesSpareCapacity
      ? 0
      : specification.milliCores - worker.freeMilliCores;
    let memory = specification.memoryMegabytes - worker.freeMemoryMegabytes;
    if (specification.accelerators > worker.freeAccelerators) return undefined;
    const chosen: Run[] = [];
    const possible = [...worker.runs.values()]
      .filter(run => mayStop(step, run))
      .sort((a, b) => lostWork(a, now) - lostWork(b, now));
    for (const run of possible) {
      if (milliCores <= 0 && memory <= 0) break;
      chosen.push(run);
      milliCores -= run.milliCores;
      memory -= run.memoryMegabytes;
    }
    if (milliCores > 0 || memory > 0 || chosen.length === 0) return undefined;
    return chosen;
  }
}

function mayStop(step: StepState, run: Run): boolean {
  const {specification, submission} = run.step;
  if (run.phase !== 'running' || specification.isService) return false;
  if (specification.isGang) return false;
  if (submission.queue.priority <= step.submission.queue.priority) return false;
  return specification.savesCheckpoints || step.specification.isService;
}

/** Core-milliseconds that a stop throws away. */
function lostWork(run: Run, now: number): number {
  const since = run.step.specification.savesCheckpoints
    ? run.checkpointedAt
    : (run.runningSince ?? now);
  return Math.max(0, now - since) * Math.max(1, run.milliCores);
}
