import type {Run} from './run.js';
import type {StepState} from './step_state.js';
import type {TeamShares} from './team_shares.js';
import type {WorkerChoice} from './worker_choice.js';
import type {WorkerState} from './worker_state.js';

/**
 * A service task waits this long for capacity before other runs are preempted
 * for it.
 */
const SERVICE_MINIMUM_WAIT_MILLISECONDS = 400;

/**
 * Any other task waits this long for capacity before other runs are preempted
 * for it.
 */
const MINIMUM_WAIT_MILLISECONDS = 120;

/**
 * While the advice service is asked about workers with capacity, a task also
 * waits for as many of its answers.
 */
const AWAITED_ANSWERS = 2;

/** Workers that a query names if the task needs no more. */
const USUALLY_NAMED_WORKERS = 10;

/** Capacity freed by preemption is reserved for the step this long. */
const RESERVATION_MILLISECONDS = 2_500;

/**
 * Pause before preemption is tried again for a step for which no capacity could
 * be freed. Each attempt iterates over all runs of the cell. The pause is short
 * compared with the waits above.
 */
const RETRY_MILLISECONDS = 100;

/**
 * Frees capacity for waiting tasks that take precedence over running tasks:
 * services that lost a task, and urgent work in a full cell.
 */
export class PreemptionPolicy {
  /** Kinds of steps that found no victims in the current pass. */
  private readonly futileKinds = new Set<string>();

  private constructor(private readonly choice: WorkerChoice) {}

  static create(choice: WorkerChoice): PreemptionPolicy {
    return new PreemptionPolicy(choice);
  }

  beginPass(): void {
    this.futileKinds.clear();
  }

  /**
   * Returns the runs to stop so that waiting tasks of the step fit. Reserves
   * their workers until the step has had time to use the freed capacity. With
   * shares, runs of teams above theirs are stopped first; a step beyond the share
   * of its team stops only such runs and those of its own team.
   */
  selectVictims(
    step: StepState,
    waitingCount: number,
    workers: WorkerState[],
    now: number,
    shares?: TeamShares,
    isBeyondShare = false,
  ): Run[] {
    if (step.specification.isGang || step.preemptionRetryAt > now) return [];
    const minimumWait = minimumWaitMilliseconds(step);
    const hasWaited = step.tasks.some(
      task => task.phase === 'waiting' && now - task.notBefore > minimumWait,
    );
    if (!hasWaited) return [];
    const victims: Run[] = [];
    let needed = waitingCount - countReserved(step, workers, now);
    if (needed <= 0) return [];
    // A hot team's burst is many equal steps, for which no run may be stopped.
    const kind = shares && kindOf(step, isBeyondShare, now);
    if (kind !== undefined && this.futileKinds.has(kind)) return [];
    const mayStop = (run: Run) =>
      !isBeyondShare ||
      run.step.submission.team === step.submission.team ||
      shares?.isAbove(run) === true;
    for (const {worker, runs} of this.cheapestCandidates(
      step,
      workers,
      now,
      mayStop,
      shares,
    )) {
      if (needed === 0) break;
      // The victims so far may have brought a team down to its share.
      if (!runs.every(mayStop)) continue;
      needed--;
      for (const run of runs) shares?.noteVictim(run);
      worker.reservedFor = step;
      worker.reservedUntil = now + RESERVATION_MILLISECONDS;
      victims.push(...runs);
    }
    if (victims.length > 0) step.reservedUntil = now + RESERVATION_MILLISECONDS;
    else if (kind !== undefined) this.futileKinds.add(kind);
    // Other tasks of the step may get capacity before the reservation ends.
    step.preemptionRetryAt = now + RETRY_MILLISECONDS;
    return victims;
  }

  /**
   * Workers on which capacity for one task can be freed: those first where fewer
   * runs of teams within their shares end, then by the least lost work.
   */
  private cheapestCandidates(
    step: StepState,
    workers: WorkerState[],
    now: number,
    mayStop: (run: Run) => boolean,
    shares: TeamShares | undefined,
  ): Array<{worker: WorkerState; runs: Run[]}> {
    const isWithin = (run: Run) => shares !== undefined && !shares.isAbove(run);
    const candidates: Array<{
      worker: WorkerState;
      runs: Run[];
      cost: number;
      withinCount: number;
    }> = [];
    for (const worker of workers) {
      if (!this.choice.isEligible(step, worker, now)) continue;
      if (isClaimed(step, worker, now)) continue;
      const runs = this.victimsOn(step, worker, now, mayStop, isWithin);
      if (!runs) continue;
      const cost = runs.reduce((sum, run) => sum + lostWork(run, now), 0);
      const withinCount = runs.filter(isWithin).length;
      candidates.push({worker, runs, cost, withinCount});
    }
    return candidates.sort(
      (a, b) => a.withinCount - b.withinCount || a.cost - b.cost,
    );
  }

  /**
   * The runs to stop on a worker to free capacity for one task of the step;
   * undefined when no choice of runs does so.
   */
  private victimsOn(
    step: StepState,
    worker: WorkerState,
    now: number,
    mayStop: (run: Run) => boolean,
    isWithin: (run: Run) => boolean,
  ): Run[] | undefined {
    const {specification} = step;
    let milliCores = specification.usesSpareCapacity
      ? 0
      : specification.milliCores - worker.freeMilliCores;
    let memory = specification.memoryMegabytes - worker.freeMemoryMegabytes;
    if (specification.accelerators > worker.freeAccelerators) return undefined;
    const chosen: Run[] = [];
    const preemptible = [...worker.runs.values()]
      .filter(run => isPreemptible(step, run) && mayStop(run))
      .map(run => ({
        run,
        within: Number(isWithin(run)),
        cost: lostWork(run, now),
      }))
      .sort((a, b) => a.within - b.within || a.cost - b.cost);
    for (const {run} of preemptible) {
      if (milliCores <= 0 && memory <= 0) break;
      chosen.push(run);
      milliCores -= run.milliCores;
      memory -= run.memoryMegabytes;
    }
    if (milliCores > 0 || memory > 0 || chosen.length === 0) return undefined;
    return chosen;
  }
}

/**
 * What the victims of a step depend on; undefined for a step with conditions of
 * its own on workers.
 */
function kindOf(
  step: StepState,
  isBeyondShare: boolean,
  now: number,
): string | undefined {
  const {specification, submission} = step;
  const {queue, team} = submission;
  if (queue.advice || step.reservedUntil > now) return undefined;
  if (specification.maximumPerWorker > 0) return undefined;
  return JSON.stringify([
    queue.service,
    team,
    queue.priority,
    isBeyondShare,
    specification.isService,
    specification.requiredLabel,
    specification.usesSpareCapacity,
    specification.milliCores,
    specification.memoryMegabytes,
    specification.accelerators,
  ]);
}

function minimumWaitMilliseconds(step: StepState): number {
  const minimum = step.specification.isService
    ? SERVICE_MINIMUM_WAIT_MILLISECONDS
    : MINIMUM_WAIT_MILLISECONDS;
  const {advice} = step.submission.queue;
  if (!advice || !step.advice.awaitsCapacity) return minimum;
  const answer =
    advice.decisionMilliseconds +
    advice.perWorkerMilliseconds * USUALLY_NAMED_WORKERS;
  return minimum + AWAITED_ANSWERS * answer;
}

/** Number of workers whose capacity is being freed for the step. */
function countReserved(
  step: StepState,
  workers: WorkerState[],
  now: number,
): number {
  return workers.filter(
    worker => worker.reservedFor === step && worker.reservedUntil > now,
  ).length;
}

/**
 * True while this step, or another of at least equal precedence, waits for
 * capacity that is being freed on the worker. The runs of a worker are preempted
 * for one task at a time.
 */
function isClaimed(step: StepState, worker: WorkerState, now: number): boolean {
  const holder = worker.reservedFor;
  if (!holder || worker.reservedUntil <= now) return false;
  if (holder.isUnderWay) return false;
  return holder.submission.queue.priority <= step.submission.queue.priority;
}

function isPreemptible(step: StepState, run: Run): boolean {
  const {specification, submission} = run.step;
  if (run.phase !== 'running' || specification.isService) return false;
  if (specification.isGang) return false;
  if (submission.queue.priority <= step.submission.queue.priority) return false;
  return specification.savesCheckpoints || step.specification.isService;
}

/** Work that is lost when the run is stopped, in millicore-milliseconds. */
function lostWork(run: Run, now: number): number {
  const since = run.step.specification.savesCheckpoints
    ? run.checkpointedAt
    : (run.runningSince ?? now);
  return Math.max(0, now - since) * Math.max(1, run.milliCores);
}
