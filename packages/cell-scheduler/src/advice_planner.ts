import {AdviceClaims} from './advice_claims.js';
import type {AdviceQuery} from './advice_query.js';
import {isTicketValid} from './is_ticket_valid.js';
import type {Run} from './run.js';
import type {StepState} from './step_state.js';
import type {TaskState} from './task_state.js';
import type {WorkerChoice} from './worker_choice.js';
import type {WorkerState} from './worker_state.js';

/** Maximum number of workers that one query to the advice service names. */
const MAXIMUM_NAMED_WORKERS = 100;

/**
 * A query names at least this many workers, if as many are usable. Fewer
 * would not justify a query of their own.
 */
const MINIMUM_NAMED_WORKERS = 10;

/**
 * A query names as many workers as add no more than this to its response time,
 * even if the tasks need fewer. Otherwise steps that query at the same time
 * would share the few workers with the most capacity.
 */
const NAMING_BUDGET_MILLISECONDS = 15;

/**
 * Maximum number of workers that the step cannot use now that are named in
 * addition, when a query already names all usable ones.
 */
const NAMED_WORKERS_NOT_USABLE = 20;

/** Share of the named workers that is assumed to be approved. */
const APPROVED_SHARE = 0.3;

/** Pause before a step without a useful query is evaluated again. */
const RECHECK_MILLISECONDS = 40;

/**
 * Advice for a waiting step is queried once the steps that it depends on are
 * expected to finish within this share of a ticket's validity.
 */
const AHEAD_SHARE = 0.5;

/** A worker on which waiting tasks of a step could be placed now. */
interface UsableWorker {
  worker: WorkerState;
  /** Number of the waiting tasks that fit. */
  fits: number;
}

/** Decides which queries to the advice service are worth sending. */
export class AdvicePlanner {
  private readonly claims = AdviceClaims.create();

  private constructor(private readonly choice: WorkerChoice) {}

  static create(choice: WorkerChoice): AdvicePlanner {
    return new AdvicePlanner(choice);
  }

  /** To be called before the queries of a pass are planned. */
  beginPass(): void {
    this.claims.dropEnded();
  }

  /**
   * Returns the query for a step with waiting tasks, or undefined when none is
   * worth sending. The service takes longer for each worker named, so the query
   * names about as many as the tasks need.
   */
  queryFor(
    step: StepState,
    waiting: TaskState[],
    workers: WorkerState[],
    now: number,
  ): AdviceQuery | undefined {
    const {advice} = step;
    if (advice.isQueryInFlight || advice.notBefore > now) return undefined;
    advice.notBefore = now + RECHECK_MILLISECONDS;
    advice.awaitsCapacity = false;
    const candidates = workers.filter(worker => this.isQueryable(step, worker));
    const usable = isCheapToName(step)
      ? this.workersWithCapacity(step, candidates, now)
      : this.usableWorkers(step, waiting, candidates, now);
    const isFirstQuery = advice.queriedWorkers.size === 0;
    const isUseful = usable.some(
      ({worker}) => !this.hasTicket(step, worker, now),
    );
    if (!isFirstQuery && !isUseful) return undefined;
    const {selected, isEnough} = this.selectEnough(
      step,
      waiting.length,
      this.inQueryOrder(step, usable),
    );
    const named = selected.map(({worker}) => worker);
    if (named.length === usable.length) {
      const alreadyNamed = new Set(named);
      const others = candidates.filter(
        worker => !alreadyNamed.has(worker) && this.hasPlaces(step, worker),
      );
      const missing = Math.max(0, minimumNamedWorkers(step) - named.length);
      const limit = isEnough && !isCheapToName(step) ? missing : Infinity;
      named.push(...others.slice(0, Math.min(limit, NAMED_WORKERS_NOT_USABLE)));
    }
    if (named.length === 0) return undefined;
    advice.awaitsCapacity = isEnough;
    this.claims.add(step, this.claimsOf(step, waiting.length, selected));
    return {
      step,
      workerIds: named.slice(0, MAXIMUM_NAMED_WORKERS).map(({id}) => id),
    };
  }

  /**
   * Workers with capacity for a step, whether or not the step could be placed
   * there now: where naming is cheap, more approvals are worth more than an
   * exact choice, for the step may preempt other runs on approved workers.
   */
  private workersWithCapacity(
    step: StepState,
    candidates: WorkerState[],
    now: number,
  ): UsableWorker[] {
    const usable: UsableWorker[] = [];
    for (const worker of candidates) {
      if (!worker.isUsable) continue;
      const fits = this.choice.fitCount(step, worker);
      if (fits > 0 || isReservedFor(step, worker, now)) {
        usable.push({worker, fits});
      }
    }
    return usable;
  }

  /**
   * Workers on which the step could be placed now. Others would take the place
   * of approved ones with capacity in every query.
   */
  private usableWorkers(
    step: StepState,
    waiting: TaskState[],
    candidates: WorkerState[],
    now: number,
  ): UsableWorker[] {
    const counts = step.countByWorker();
    const usable: UsableWorker[] = [];
    for (const worker of candidates) {
      const count = counts.get(worker.id) ?? 0;
      const fits = this.usableFits(step, waiting, worker, count, now);
      if (fits > 0) usable.push({worker, fits});
    }
    return usable;
  }

  /** True when the step's limit per worker allows another task there. */
  private hasPlaces(step: StepState, worker: WorkerState): boolean {
    return isCheapToName(step) || placesLeft(step, step.countOn(worker)) > 0;
  }

  /** True when advice should be queried for a step that waits for others. */
  shouldQueryAhead(step: StepState, now: number): boolean {
    if (step.advice.queriedWorkers.size > 0) return false;
    const steps = step.submission.stepsOf(step.occurrence);
    const remaining = step.specification.dependsOn.map(index =>
      remainingStepMilliseconds(steps[index], now),
    );
    return this.isDueBy(step, now + Math.max(...remaining), now);
  }

  /** True when a ticket that a step needs at a time should be queried now. */
  isDueBy(step: StepState, neededAt: number, now: number): boolean {
    const {advice} = step.submission.queue;
    if (!advice) return false;
    return neededAt - now <= advice.validMilliseconds * AHEAD_SHARE;
  }

  /** True when workers with valid tickets have capacity for all the tasks. */
  hasTicketsFor(
    step: StepState,
    tasks: TaskState[],
    workers: WorkerState[],
    now: number,
  ): boolean {
    const counts = step.countByWorker();
    let fits = 0;
    for (const worker of workers) {
      if (!this.hasTicket(step, worker, now)) continue;
      const count = counts.get(worker.id) ?? 0;
      fits += this.usableFits(step, tasks, worker, count, now);
    }
    return fits >= tasks.length;
  }

  /**
   * Where naming a worker is cheap, steps that query at the same time name
   * different workers. Where it is expensive, the workers with the most free
   * processors come first, so that few need to be named. What the queries under
   * way are expected to take does not count as free. Workers that the service
   * has approved before come first in any case, since they are approved again.
   * Slow and failing workers come last, as they do when tasks are placed.
   */
  private inQueryOrder(
    step: StepState,
    usable: UsableWorker[],
  ): UsableWorker[] {
    if (isCheapToName(step)) {
      const start = hash(step.name) % Math.max(1, usable.length);
      const rotated = [...usable.slice(start), ...usable.slice(0, start)];
      if (usable.every(({worker}) => !worker.judgement.isUneven)) {
        return rotated;
      }
      return rotated.sort(
        (a, b) =>
          this.choice.unevenCost(step, a.worker) -
          this.choice.unevenCost(step, b.worker),
      );
    }
    return usable
      .map(candidate => ({
        candidate,
        unevenCost: this.choice.unevenCost(step, candidate.worker),
        probability: approvalProbability(step, candidate.worker),
        left: this.unclaimed(candidate.worker),
      }))
      .sort(
        (a, b) =>
          a.unevenCost - b.unevenCost ||
          b.probability - a.probability ||
          b.left - a.left,
      )
      .map(({candidate}) => candidate);
  }

  private unclaimed(worker: WorkerState): number {
    return worker.freeMilliCores - this.claims.milliCoresOn(worker.id);
  }

  /** The millicores that a query's step is expected to take on each worker. */
  private claimsOf(
    step: StepState,
    waitingCount: number,
    selected: UsableWorker[],
  ): Map<string, number> {
    const {milliCores, usesSpareCapacity} = step.specification;
    if (usesSpareCapacity) return new Map();
    let expected = 0;
    for (const {worker, fits} of selected) {
      expected += fits * approvalProbability(step, worker);
    }
    const share = Math.min(1, waitingCount / Math.max(1, expected));
    return new Map(
      selected.map(({worker, fits}) => [
        worker.id,
        fits * approvalProbability(step, worker) * share * milliCores,
      ]),
    );
  }

  private selectEnough(
    step: StepState,
    waitingCount: number,
    usable: UsableWorker[],
  ): {selected: UsableWorker[]; isEnough: boolean} {
    const minimum = minimumNamedWorkers(step);
    const selected: UsableWorker[] = [];
    let expectedCapacity = 0;
    for (const candidate of usable) {
      if (selected.length >= minimum && expectedCapacity >= waitingCount) break;
      const {worker, fits} = candidate;
      expectedCapacity += fits * approvalProbability(step, worker);
      selected.push(candidate);
    }
    return {selected, isEnough: expectedCapacity >= waitingCount};
  }

  private isQueryable(step: StepState, worker: WorkerState): boolean {
    if (worker.description.state !== 'ready') return false;
    if (!this.choice.hasLabel(step, worker)) return false;
    // The service's answer for a worker does not change while the worker's
    // incarnation lasts.
    return !step.advice.isRejected(worker);
  }

  /** Number of waiting tasks that could be placed on the worker now. */
  private usableFits(
    step: StepState,
    waiting: TaskState[],
    worker: WorkerState,
    count: number,
    now: number,
  ): number {
    // Capacity that is reserved for the step may still have to be freed.
    const fits = Math.max(
      isReservedFor(step, worker, now) ? 1 : 0,
      this.choice.fitCount(step, worker),
    );
    if (fits === 0 || !this.choice.isOpenTo(step, worker, now)) return 0;
    // A task may not be placed beside an earlier run of its own.
    if (waiting.every(task => worker.runs.has(task.name))) return 0;
    return Math.min(fits, placesLeft(step, count), waiting.length);
  }

  private hasTicket(
    step: StepState,
    worker: WorkerState,
    now: number,
  ): boolean {
    const ticket = step.advice.tickets.get(worker.id);
    return ticket !== undefined && isTicketValid(ticket, worker, now);
  }
}

/**
 * A worker that was approved stays approved. Any other worker is approved with
 * an assumed probability.
 */
function approvalProbability(step: StepState, worker: WorkerState): number {
  return step.advice.isApproved(worker) ? 1 : APPROVED_SHARE;
}

function isReservedFor(
  step: StepState,
  worker: WorkerState,
  now: number,
): boolean {
  return worker.reservedFor === step && worker.reservedUntil > now;
}

/** True where naming a worker adds next to nothing to the response time. */
function isCheapToName(step: StepState): boolean {
  return minimumNamedWorkers(step) > MINIMUM_NAMED_WORKERS;
}

/** Number of further tasks that the step's limit per worker allows. */
function placesLeft(step: StepState, count: number): number {
  return (step.specification.maximumPerWorker || Infinity) - count;
}

/** FNV-1a, 32 bits. */
function hash(text: string): number {
  let value = 2_166_136_261;
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), 16_777_619);
  }
  return value >>> 0;
}

/**
 * Minimum number of workers per query. It is higher where the service is fast,
 * because naming a worker costs next to nothing there.
 */
function minimumNamedWorkers(step: StepState): number {
  const {perWorkerMilliseconds = Infinity} = step.submission.queue.advice ?? {};
  return Math.max(
    MINIMUM_NAMED_WORKERS,
    Math.floor(NAMING_BUDGET_MILLISECONDS / perWorkerMilliseconds),
  );
}

/** Estimated time until the last task of a step is done, from its progress. */
function remainingStepMilliseconds(step: StepState | undefined, now: number) {
  if (!step) return 0;
  let longest = 0;
  for (const task of step.tasks) {
    if (task.phase === 'done') continue;
    longest = Math.max(longest, remainingTaskMilliseconds(step, task, now));
  }
  return longest;
}

function remainingTaskMilliseconds(
  step: StepState,
  task: TaskState,
  now: number,
): number {
  const {run} = task;
  if (!run) return Infinity;
  const elapsed = now - (run.runningSince ?? now);
  return run.progressPercent > 0
    ? remainingByProgress(run, now)
    : step.specification.estimatedMilliseconds - elapsed;
}

function remainingByProgress(run: Run, now: number): number {
  const elapsedAtProgress = run.progressedAt - (run.runningSince ?? now);
  const total = (elapsedAtProgress * 100) / run.progressPercent;
  return total - (now - (run.runningSince ?? now));
}
