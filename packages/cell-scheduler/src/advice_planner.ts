import type {AdviceWish} from './advice_wish.js';
import {isFresh} from './is_fresh.js';
import type {Run} from './run.js';
import type {StepState} from './step_state.js';
import type {TaskState} from './task_state.js';
import type {WorkerChoice} from './worker_choice.js';
import type {WorkerState} from './worker_state.js';

/** Most workers that one question to the advice service may name. */
const MAXIMUM_NAMED_WORKERS = 100;

/** Fewer workers are not worth a question of their own. */
const LEAST_NAMED_WORKERS = 10;

/**
 * Names that add no more than this to an answer are always worth it: steps that
 * ask at the same time would otherwise share the few workers with most room.
 */
const NAMING_BUDGET_MILLISECONDS = 15;

/** Workers without room that are named when room is short. */
const SPARE_NAMED_WORKERS = 20;

/** Share of the named workers that is taken to be approved. */
const APPROVED_SHARE = 0.3;

/** A step without a useful question is looked at again after this pause. */
const RECHECK_MILLISECONDS = 40;

/** A step is asked for once its turn comes within this share of a ticket. */
const AHEAD_SHARE = 0.5;

/** Decides which questions to the advice service are worth asking. */
export class AdvicePlanner {
  private constructor(private readonly choice: WorkerChoice) {}

  static create(choice: WorkerChoice): AdvicePlanner {
    return new AdvicePlanner(choice);
  }

  /**
   * The question to ask for a step with waiting tasks. The service takes longer
   * for each worker named, so it names as many as the tasks need.
   */
  wishFor(
    step: StepState,
    waitingCount: number,
    workers: WorkerState[],
    now: number,
  ): AdviceWish | undefined {
    const {advice} = step;
    if (advice.isAsking || advice.notBefore > now) return undefined;
    advice.notBefore = now + RECHECK_MILLISECONDS;
    const candidates = workers.filter(worker => this.mayName(step, worker));
    if (candidates.length === 0) return undefined;
    const roomy = inNamingOrder(
      step,
      candidates.filter(worker => this.mayFit(step, worker, now)),
    );
    const isFirst = advice.asked.size === 0;
    const isUseful = roomy.some(worker => !this.hasTicket(step, worker, now));
    if (!isFirst && !isUseful) return undefined;
    const named = this.takeEnough(step, waitingCount, roomy);
    if (named.length === roomy.length) {
      const known = new Set(named);
      const others = candidates.filter(worker => !known.has(worker));
      named.push(...others.slice(0, SPARE_NAMED_WORKERS));
    }
    return {
      step,
      workerIds: named.slice(0, MAXIMUM_NAMED_WORKERS).map(({id}) => id),
    };
  }

  /** True when a step that waits for others should be asked for already. */
  isDueAhead(step: StepState, now: number): boolean {
    const {advice} = step.submission.queue;
    if (!advice || step.advice.asked.size > 0) return false;
    const steps = step.submission.stepsOf(step.occurrence);
    const remaining = step.specification.dependsOn.map(index =>
      remainingMilliseconds(steps[index], now),
    );
    return Math.max(...remaining) <= advice.validMilliseconds * AHEAD_SHARE;
  }

  private takeEnough(
    step: StepState,
    waitingCount: number,
    roomy: WorkerState[],
  ): WorkerState[] {
    const least = leastNamed(step);
    let room = 0;
    let count = 0;
    for (const worker of roomy) {
      if (count >= least && room >= waitingCount) break;
      // A worker that was approved stays so; any other is approved by chance.
      const share = step.advice.tickets.has(worker.id) ? 1 : APPROVED_SHARE;
      room += this.choice.fitCount(step, worker) * share;
      count++;
    }
    return roomy.slice(0, count);
  }

  private mayName(step: StepState, worker: WorkerState): boolean {
    if (worker.description.state !== 'ready') return false;
    if (!this.choice.hasLabel(step, worker)) return false;
    // What the service said of a worker does not change during its life.
    return (
      !step.advice.asked.has(askedKey(worker)) ||
      step.advice.tickets.has(worker.id)
    );
  }

  private mayFit(step: StepState, worker: WorkerState, now: number): boolean {
    if (!worker.isUsable) return false;
    const isHeld = worker.heldFor === step && worker.heldUntil > now;
    return isHeld || this.choice.hasRoom(step, worker);
  }

  private hasTicket(
    step: StepState,
    worker: WorkerState,
    now: number,
  ): boolean {
    const ticket = step.advice.tickets.get(worker.id);
    return ticket !== undefined && isFresh(ticket, worker, now);
  }
}

/**
 * Where names are cheap, steps that ask at the same time name different workers;
 * where they are dear, those with most room, so that few are needed.
 */
function inNamingOrder(step: StepState, workers: WorkerState[]): WorkerState[] {
  if (leastNamed(step) === LEAST_NAMED_WORKERS) {
    return workers.sort((a, b) => b.freeMilliCores - a.freeMilliCores);
  }
  const start = hash(step.name) % Math.max(1, workers.length);
  return [...workers.slice(start), ...workers.slice(0, start)];
}

/** FNV-1a, 32 bits. */
function hash(text: string): number {
  let value = 2_166_136_261;
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), 16_777_619);
  }
  return value >>> 0;
}

/** Names that cost next to nothing where the service is quick. */
function leastNamed(step: StepState): number {
  const {perWorkerMilliseconds = Infinity} = step.submission.queue.advice ?? {};
  return Math.max(
    LEAST_NAMED_WORKERS,
    Math.floor(NAMING_BUDGET_MILLISECONDS / perWorkerMilliseconds),
  );
}

/** Longest time that a task of a running step still takes, by its progress. */
function remainingMilliseconds(step: StepState | undefined, now: number) {
  if (!step) return 0;
  return Math.max(
    0,
    ...step.tasks
      .filter(({phase}) => phase !== 'done')
      .map(task => remainingOf(step, task, now)),
  );
}

function remainingOf(step: StepState, task: TaskState, now: number): number {
  const {run} = task;
  if (!run) return Infinity;
  const elapsed = now - (run.runningSince ?? now);
  return run.progressPercent > 0
    ? byProgress(run, now)
    : step.specification.estimatedMilliseconds - elapsed;
}

function byProgress(run: Run, now: number): number {
  const measured = run.progressedAt - (run.runningSince ?? now);
  const total = (measured * 100) / run.progressPercent;
  return total - (now - (run.runningSince ?? now));
}

function askedKey(worker: WorkerState): string {
  return `${worker.id}@${worker.description.bornAtUnixMilliseconds}`;
}
