import {AdvicePlanner} from './advice_planner.js';
import {FullShapes} from './full_shapes.js';
import {isFresh} from './is_fresh.js';
import type {Placement} from './placement.js';
import {PreemptionPolicy} from './preemption_policy.js';
import type {SchedulingPass} from './scheduling_pass.js';
import type {ShardState} from './shard_state.js';
import type {StepState} from './step_state.js';
import type {TaskState} from './task_state.js';
import type {WaitingOrder} from './waiting_order.js';
import type {WorkerChoice} from './worker_choice.js';
import type {WorkerState} from './worker_state.js';

/**
 * A step that raised an unexpected error is tried again after this pause; long
 * enough that its log lines stay few.
 */
const SET_ASIDE_MILLISECONDS = 5_000;

/** Decides which waiting tasks start where. */
export class Scheduler {
  /** Sizes without room in the present pass. */
  private full = FullShapes.create();
  /** Workers by service in the present pass. */
  private byService = new Map<string, WorkerState[]>();

  private constructor(
    private readonly state: ShardState,
    private readonly order: WaitingOrder,
    private readonly choice: WorkerChoice,
    private readonly preemption: PreemptionPolicy,
    private readonly advice: AdvicePlanner,
  ) {}

  static create(
    state: ShardState,
    order: WaitingOrder,
    choice: WorkerChoice,
  ): Scheduler {
    const preemption = PreemptionPolicy.create(choice);
    const advice = AdvicePlanner.create(choice);
    return new Scheduler(state, order, choice, preemption, advice);
  }

  /**
   * Goes over the waiting steps once. `place` is called for each placement and
   * must take the worker's capacity at once.
   */
  pass(
    now: number,
    nowUnixMilliseconds: number,
    place: (placement: Placement) => void,
  ): SchedulingPass {
    this.full = FullShapes.create();
    this.byService = groupByService(this.state.workers.values());
    const ready = [...this.state.readySteps(nowUnixMilliseconds)].filter(
      step =>
        step.setAsideUntil <= now &&
        step.tasks.some(task => isWaiting(task, now)),
    );
    // From here on a task's waiting time counts.
    for (const task of ready.flatMap(step => step.tasks)) {
      if (task.notBefore === 0) task.notBefore = now;
    }
    const result: SchedulingPass = {
      placements: [],
      adviceWishes: [],
      preemptions: [],
      faults: [],
    };
    for (const step of this.order.sort(ready, nowUnixMilliseconds)) {
      this.guard(step, now, result, () =>
        this.placeStep(step, now, result, place),
      );
    }
    this.askAhead(now, nowUnixMilliseconds, result);
    return result;
  }

  /**
   * An unexpected error concerns one step only: without this it would end the
   * owner, and the next one, which reads the same records.
   */
  private guard(
    step: StepState,
    now: number,
    result: SchedulingPass,
    work: () => void,
  ): void {
    try {
      work();
    } catch (cause) {
      step.setAsideUntil = now + SET_ASIDE_MILLISECONDS;
      result.faults.push({step, cause});
    }
  }

  private placeStep(
    step: StepState,
    now: number,
    result: SchedulingPass,
    place: (placement: Placement) => void,
  ): void {
    const needsAdvice = step.submission.queue.advice !== undefined;
    const workers = needsAdvice
      ? this.ticketedWorkers(step, now)
      : this.serviceWorkers(step);
    const waiting = step.tasks.filter(task => isWaiting(task, now));
    const placed = step.specification.isGang
      ? this.placeGang(step, waiting, workers, now)
      : this.placeSeparately(step, waiting, workers, now, place);
    if (step.specification.isGang) placed.forEach(place);
    result.placements.push(...placed);
    if (placed.length === waiting.length) return;
    const approved = needsAdvice ? this.approvedWorkers(step) : workers;
    result.preemptions.push(
      ...this.preemption.makeRoom(
        step,
        waiting.length - placed.length,
        approved,
        now,
      ),
    );
    if (!needsAdvice) return;
    const stillWaiting = waiting.length - placed.length;
    const wish = this.advice.wishFor(
      step,
      stillWaiting,
      this.serviceWorkers(step),
      now,
    );
    if (wish) result.adviceWishes.push(wish);
  }

  /** Questions for steps whose turn comes soon; an answer takes a while. */
  private askAhead(
    now: number,
    nowUnixMilliseconds: number,
    result: SchedulingPass,
  ): void {
    for (const step of this.state.upcomingSteps(nowUnixMilliseconds)) {
      if (!step.submission.queue.advice) continue;
      if (step.setAsideUntil > now) continue;
      this.guard(step, now, result, () => {
        if (!this.advice.isDueAhead(step, now)) return;
        const wish = this.advice.wishFor(
          step,
          step.tasks.length,
          this.serviceWorkers(step),
          now,
        );
        if (wish) result.adviceWishes.push(wish);
      });
    }
  }

  private placeSeparately(
    step: StepState,
    waiting: TaskState[],
    workers: WorkerState[],
    now: number,
    place: (placement: Placement) => void,
  ): Placement[] {
    // A worker that is held for the step is missing from what is known as full.
    const mayHoldRoom = step.preemptedUntil > now;
    if (!mayHoldRoom && this.full.covers(step)) return [];
    let candidates = workers.filter(
      worker =>
        this.choice.mayServe(step, worker, now) &&
        this.choice.hasRoom(step, worker),
    );
    if (candidates.length === 0 && isLimitedByRoomOnly(step)) {
      this.full.note(step);
    }
    const placed: Placement[] = [];
    for (const task of waiting) {
      if (candidates.length === 0) break;
      const allowed = candidates.filter(worker =>
        this.choice.isAllowed(step, task, worker, now),
      );
      const rack = step.specification.isTightlyCoupled ? this.rackOf(step) : '';
      const worker = this.choice.choose(step, task, allowed, rack);
      if (!worker) continue;
      const placement = this.placement(step, task, worker);
      place(placement);
      placed.push(placement);
      if (!this.choice.mayTakeMore(step, worker)) {
        candidates = candidates.filter(other => other !== worker);
      }
    }
    return placed;
  }

  /** Places all members or none; capacity is counted on a scratch copy. */
  private placeGang(
    step: StepState,
    waiting: TaskState[],
    workers: WorkerState[],
    now: number,
  ): Placement[] {
    if (waiting.length !== step.tasks.length) return [];
    const members: Placement[] = [];
    const remaining = [...waiting];
    const candidates = workers
      .filter(worker => this.choice.isAllowed(step, waiting[0]!, worker, now))
      .sort((a, b) => b.freeMilliCores - a.freeMilliCores);
    for (const worker of candidates) {
      const room = Math.min(
        this.choice.fitCount(step, worker),
        remaining.length,
      );
      for (let count = 0; count < room; count++) {
        const task = remaining.shift();
        if (task) members.push(this.placement(step, task, worker));
      }
      if (remaining.length === 0) return members;
    }
    return [];
  }

  /** The rack of the step's first running task; empty when none runs. */
  private rackOf(step: StepState): string {
    const workerId = step.tasks.find(task => task.run)?.run?.workerId ?? '';
    return this.state.workers.get(workerId)?.rack ?? '';
  }

  private placement(
    step: StepState,
    task: TaskState,
    worker: WorkerState,
  ): Placement {
    const ticket = step.advice.tickets.get(worker.id)?.ticket ?? '';
    return {step, task, worker, ticket};
  }

  private serviceWorkers(step: StepState): WorkerState[] {
    return this.byService.get(step.submission.queue.service) ?? [];
  }

  /** Workers that may run the step, also while their tickets have expired. */
  private approvedWorkers(step: StepState): WorkerState[] {
    const workers: WorkerState[] = [];
    for (const id of step.advice.tickets.keys()) {
      const worker = this.state.workers.get(id);
      if (worker) workers.push(worker);
    }
    return workers;
  }

  private ticketedWorkers(step: StepState, now: number): WorkerState[] {
    const workers: WorkerState[] = [];
    for (const [id, ticket] of step.advice.tickets) {
      const worker = this.state.workers.get(id);
      if (!worker) continue;
      if (isFresh(ticket, worker, now)) workers.push(worker);
    }
    return workers;
  }
}

function groupByService(
  workers: Iterable<WorkerState>,
): Map<string, WorkerState[]> {
  const groups = new Map<string, WorkerState[]>();
  for (const worker of workers) {
    const {service} = worker.description;
    const group = groups.get(service);
    if (group) group.push(worker);
    else groups.set(service, [worker]);
  }
  return groups;
}

/** True when only room decides which workers of the service may run a step. */
function isLimitedByRoomOnly(step: StepState): boolean {
  const {requiredLabel, maximumPerWorker} = step.specification;
  return (
    requiredLabel === '' &&
    maximumPerWorker === 0 &&
    step.submission.queue.advice === undefined
  );
}

function isWaiting(task: TaskState, now: number): boolean {
  return task.phase === 'waiting' && task.notBefore <= now;
}
