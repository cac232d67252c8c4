import {AdvicePlanner} from './advice_planner.js';
import type {AdviceRoom} from './advice_room.js';
import {LendingQueue} from './lending_queue.js';
import type {NearPlaceRule} from './near_place_rule.js';
import {UnplaceableShapes} from './unplaceable_shapes.js';
import {isTicketValid} from './is_ticket_valid.js';
import type {Placement} from './placement.js';
import {PreemptionPolicy} from './preemption_policy.js';
import {Reservations} from './reservations.js';
import type {SchedulingPass} from './scheduling_pass.js';
import type {ShardState} from './shard_state.js';
import type {StepState} from './step_state.js';
import type {TaskState} from './task_state.js';
import {TeamDirectory} from './team_directory.js';
import {TeamLimits} from './team_limits.js';
import {TeamShares} from './team_shares.js';
import type {WaitingOrder} from './waiting_order.js';
import type {WorkerChoice} from './worker_choice.js';
import type {WorkerState} from './worker_state.js';

/**
 * Pause before a step that raised an unexpected error is tried again. It is
 * long enough to keep the number of log lines low.
 */
const SET_ASIDE_MILLISECONDS = 5_000;

/**
 * Tasks of one step that get lent capacity before the next team's turn, so that
 * one large step does not take all of it.
 */
const LENDING_TURN_TASKS = 10;

/** Turns go over all tasks of their step, so a very large step has few. */
const LENDING_TURNS = 50;

/** What one pass decides from and adds to. */
interface PassContext {
  now: number;
  result: SchedulingPass;
  maximumPlacements: number;
  place: (placement: Placement) => void;
}

/** Which of a step's waiting tasks a round may place. */
interface RoundTerms {
  /** Maximum number of tasks that may be placed, asked about or preempt. */
  tasks: number;
  /** Maximum number of placements. */
  placements: number;
  /** True for tasks beyond the share of their team. */
  isLending: boolean;
}

/** The only round without teams. */
const ALL_TASKS: RoundTerms = {
  tasks: Infinity,
  placements: Infinity,
  isLending: false,
};

const UNLIMITED_ADVICE: AdviceRoom = {countFor: () => Infinity};

/** Decides which waiting tasks start on which workers. */
export class Scheduler {
  /** Task sizes that fit on no worker in the current pass. */
  private unplaceable = UnplaceableShapes.create();
  /** Capacity that is being freed, where teams are in force. */
  private reservations = Reservations.create();
  /** Workers by service in the current pass. */
  private workersByService = new Map<string, WorkerState[]>();
  /** The last step of each team that its limit held back in the current pass. */
  private readonly heldSteps = new Map<string, StepState>();
  /** Queries that can be sent in the current pass, by queue. */
  private readonly adviceRooms = new Map<string, number>();

  private constructor(
    private readonly state: ShardState,
    private readonly order: WaitingOrder,
    private readonly choice: WorkerChoice,
    private readonly preemption: PreemptionPolicy,
    private readonly advice: AdvicePlanner,
    private readonly adviceRoom: AdviceRoom,
    private readonly teams: TeamDirectory,
    private readonly limits: TeamLimits,
    private readonly shares: TeamShares,
    private readonly nearPlaces: NearPlaceRule | undefined,
  ) {}

  static create(
    state: ShardState,
    order: WaitingOrder,
    choice: WorkerChoice,
    adviceRoom: AdviceRoom = UNLIMITED_ADVICE,
    teams: TeamDirectory = TeamDirectory.create(),
    nearPlaces?: NearPlaceRule,
  ): Scheduler {
    return new Scheduler(
      state,
      order,
      choice,
      PreemptionPolicy.create(choice),
      AdvicePlanner.create(choice),
      adviceRoom,
      teams,
      TeamLimits.create(state.teamUsage, teams),
      TeamShares.create(state.teamUsage, teams),
      nearPlaces,
    );
  }

  /**
   * Processes the waiting steps once. `place` is called for each placement and
   * must take the worker's capacity before it returns. Only a gang, which is
   * placed as a whole, may exceed the maximum number of placements.
   */
  pass(
    now: number,
    nowUnixMilliseconds: number,
    maximumPlacements: number,
    place: (placement: Placement) => void,
  ): SchedulingPass {
    this.unplaceable = UnplaceableShapes.create();
    this.workersByService = groupByService(this.state.workers.values());
    this.adviceRooms.clear();
    this.heldSteps.clear();
    this.advice.beginPass();
    this.nearPlaces?.beginPass(now, nowUnixMilliseconds, this.workersByService);
    this.preemption.beginPass();
    const ready = [...this.state.readySteps(nowUnixMilliseconds)].filter(
      step => step.setAsideUntil <= now && hasWaiting(step, now),
    );
    // A task's waiting time counts from the first pass that finds it ready.
    for (const {tasks} of ready) {
      for (const task of tasks) {
        if (task.notBefore === 0) task.notBefore = now;
      }
    }
    const result: SchedulingPass = {
      placements: [],
      adviceQueries: [],
      preemptions: [],
      limitHolds: new Map(),
      nearPlaceEvents: [],
      nextNearPlaceDeadline: Infinity,
      faults: [],
    };
    const context: PassContext = {now, result, maximumPlacements, place};
    const sorted = this.order.sort(ready, nowUnixMilliseconds);
    if (this.teams.isInForce) {
      this.placeByShare(sorted, context);
    } else {
      for (const step of sorted) {
        this.isolateFault(step, now, result, () => {
          this.placeStep(step, context, ALL_TASKS);
        });
      }
    }
    for (const [team, step] of this.heldSteps) {
      result.limitHolds.set(team, this.limits.holdOf(step));
    }
    this.queryAhead(now, nowUnixMilliseconds, result);
    if (this.nearPlaces) {
      result.nearPlaceEvents = this.nearPlaces.takeEvents();
      result.nextNearPlaceDeadline = this.nearPlaces.nextDeadline;
    }
    return result;
  }

  /**
   * Limits an unexpected error to one step. Without this it would end the
   * owner, and then the next owner, which reads the same records.
   */
  private isolateFault(
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

  /**
   * Goes over the steps twice: first the tasks that are within the share of
   * their team, then the others, for which what is left is lent.
   */
  private placeByShare(
    sorted: readonly StepState[],
    context: PassContext,
  ): void {
    const {now, result} = context;
    this.shares.beginPass(sorted, this.workersByService);
    this.reservations = Reservations.create(this.state.workers.values(), now);
    const beyond: StepState[] = [];
    for (const step of sorted) {
      this.isolateFault(step, now, result, () => {
        const tasks = this.shares.countWithin(step);
        const terms = {tasks, placements: Infinity, isLending: false};
        // A step that waits within its share gets nothing beyond it.
        if (tasks > 0 && !this.placeStep(step, context, terms)) return;
        if (hasWaiting(step, now)) beyond.push(step);
      });
    }
    const lending = LendingQueue.create(beyond, this.shares);
    for (let step = lending.next(); step; step = lending.next()) {
      const current = step;
      const terms = {
        tasks: Infinity,
        placements: Math.max(
          LENDING_TURN_TASKS,
          Math.ceil(step.tasks.length / LENDING_TURNS),
        ),
        isLending: true,
      };
      this.isolateFault(current, now, result, () => {
        if (!this.placeStep(current, context, terms)) return;
        if (hasWaiting(current, now)) lending.putBack(current);
      });
    }
  }

  /** Returns whether all tasks were placed that the round may place. */
  private placeStep(
    step: StepState,
    {now, result, maximumPlacements, place}: PassContext,
    terms: RoundTerms,
  ): boolean {
    const room = Math.min(
      maximumPlacements - result.placements.length,
      terms.placements,
    );
    if (room <= 0) return false;
    const all = step.tasks.filter(task => isWaiting(task, now));
    const allowed = this.limits.countAllowed(step);
    const {team} = step.submission;
    if (allowed < all.length) this.heldSteps.set(team, step);
    const tasks = Math.min(allowed, terms.tasks);
    if (tasks === 0) return false;
    const waiting = tasks < all.length ? all.slice(0, tasks) : all;
    const needsAdvice = step.submission.queue.advice !== undefined;
    const workers = needsAdvice
      ? this.ticketedWorkers(step, now)
      : this.serviceWorkers(step);
    const wanted = step.specification.isGang
      ? waiting.length
      : Math.min(waiting.length, room);
    const placed = step.specification.isGang
      ? this.placeGang(step, waiting, workers, now)
      : this.placeSeparately(
          step,
          waiting.slice(0, wanted),
          workers,
          now,
          place,
        );
    if (step.specification.isGang) placed.forEach(place);
    for (const placement of placed) result.placements.push(placement);
    // Tasks that wait on purpose lack neither capacity nor advice.
    const heldCount = this.nearPlaces?.notePlaced(step) ?? 0;
    if (placed.length === wanted) return true;
    const unplaced = waiting.length - placed.length - heldCount;
    if (unplaced <= 0) return false;
    if (needsAdvice && this.hasAdviceRoom(step, result)) {
      const query = this.advice.queryFor(
        step,
        waiting.filter(task => isWaiting(task, now)).slice(0, unplaced),
        this.serviceWorkers(step),
        now,
      );
      if (query) result.adviceQueries.push(query);
    }
    const approved = needsAdvice ? this.approvedWorkers(step) : workers;
    const victims = this.preemption.selectVictims(
      step,
      Math.min(unplaced, this.countPreempting(step, terms)),
      approved,
      now,
      this.teams.isInForce ? this.shares : undefined,
      terms.isLending,
    );
    result.preemptions.push(...victims);
    if (victims.length > 0 && this.teams.isInForce) {
      this.reservations.update(approved, now);
    }
    return false;
  }

  /**
   * Number of tasks for which runs may be preempted, as far as other steps of the
   * team do not already wait for capacity that is being freed.
   */
  private countPreempting(step: StepState, {isLending}: RoundTerms): number {
    if (!this.teams.isInForce) return Infinity;
    const allowed = this.limits.countAllowed(
      step,
      this.reservations.byOthers(step),
    );
    if (isLending) return allowed;
    const expected = this.reservations.byOthersUpTo(step);
    return Math.min(allowed, this.shares.countWithin(step, expected));
  }

  /**
   * Adds queries for steps that become ready soon, because the advice service
   * takes a while to answer.
   */
  private queryAhead(
    now: number,
    nowUnixMilliseconds: number,
    result: SchedulingPass,
  ): void {
    for (const step of this.upcomingSteps(nowUnixMilliseconds)) {
      if (!step.submission.queue.advice) continue;
      if (step.setAsideUntil > now) continue;
      if (this.limits.countAllowed(step) === 0) continue;
      if (!this.hasAdviceRoom(step, result)) continue;
      this.isolateFault(step, now, result, () => {
        if (!this.advice.shouldQueryAhead(step, now)) return;
        const query = this.advice.queryFor(
          step,
          step.tasks,
          this.serviceWorkers(step),
          now,
        );
        if (query) result.adviceQueries.push(query);
      });
    }
    for (const [step, tasks] of this.tasksToMove(now)) {
      if (!this.hasAdviceRoom(step, result)) continue;
      this.isolateFault(step, now, result, () => {
        const workers = this.serviceWorkers(step);
        if (this.advice.hasTicketsFor(step, tasks, workers, now)) return;
        const query = this.advice.queryFor(step, tasks, workers, now);
        if (query) result.adviceQueries.push(query);
      });
    }
  }

  /** Steps that become ready soon; with teams, in the order of placements. */
  private upcomingSteps(nowUnixMilliseconds: number): Iterable<StepState> {
    const steps = this.state.upcomingSteps(nowUnixMilliseconds);
    if (!this.teams.isInForce) return steps;
    return [...steps]
      .map(step => ({step, isWithin: this.shares.countWithin(step) > 0}))
      .sort(
        (a, b) =>
          Number(b.isWithin) - Number(a.isWithin) ||
          a.step.submission.queue.priority - b.step.submission.queue.priority,
      )
      .map(({step}) => step);
  }

  /**
   * Whether another query can be sent. Otherwise none is planned, so that the
   * next one that can be is for the step that comes first by then.
   */
  private hasAdviceRoom(
    step: StepState,
    {adviceQueries}: SchedulingPass,
  ): boolean {
    const {name} = step.submission.queue;
    const room = this.adviceRooms.get(name) ?? this.adviceRoom.countFor(step);
    this.adviceRooms.set(name, room);
    return adviceQueries.length < room;
  }

  /**
   * Tasks on unreachable workers that need another worker soon, by step. Their
   * steps query advice before that, so that the tasks start again at once.
   */
  private tasksToMove(now: number): Map<StepState, TaskState[]> {
    const tasksByStep = new Map<StepState, TaskState[]>();
    for (const worker of this.state.workers.values()) {
      if (worker.runsEndAt === Infinity) continue;
      for (const {step, task} of worker.runs.values()) {
        if (step.submission.ending || step.setAsideUntil > now) continue;
        if (!this.advice.isDueBy(step, worker.runsEndAt, now)) continue;
        const tasks = tasksByStep.get(step);
        if (tasks) tasks.push(task);
        else tasksByStep.set(step, [task]);
      }
    }
    return tasksByStep;
  }

  private placeSeparately(
    step: StepState,
    waiting: TaskState[],
    workers: WorkerState[],
    now: number,
    place: (placement: Placement) => void,
  ): Placement[] {
    // Sizes are recorded as unplaceable without regard to workers that are
    // reserved for other steps, so a step with a reservation is always tried.
    const mayHaveReservation = step.reservedUntil > now;
    if (!mayHaveReservation && this.unplaceable.covers(step)) return [];
    let candidates = workers.filter(
      worker =>
        this.choice.isEligible(step, worker, now) &&
        this.choice.hasCapacity(step, worker),
    );
    if (candidates.length === 0 && isLimitedByCapacityOnly(step)) {
      this.unplaceable.add(step);
    }
    const placed: Placement[] = [];
    const {dataRack, isTightlyCoupled} = step.specification;
    let plannedRack: string | undefined;
    for (const task of waiting) {
      if (candidates.length === 0) break;
      const allowed = candidates.filter(worker =>
        this.choice.isAllowed(step, task, worker, now),
      );
      let rack = isTightlyCoupled ? this.rackOf(step) : '';
      if (isTightlyCoupled && rack === '' && dataRack === '') {
        plannedRack ??= this.nearPlaces?.rackFor(step, candidates) ?? '';
        rack = plannedRack;
      }
      let worker = this.choice.choose(step, task, allowed, rack);
      if (!worker) continue;
      const nearRack = dataRack || rack;
      if (
        nearRack !== '' &&
        this.nearPlaces?.mayPlace(step, task, worker, waiting, nearRack) ===
          false
      ) {
        candidates = this.nearPlaces.nearOf(step, candidates);
        const near = this.nearPlaces.nearOf(step, allowed);
        worker = this.choice.choose(step, task, near, rack);
        if (!worker) continue;
      }
      const placement = this.placement(step, task, worker);
      place(placement);
      placed.push(placement);
      if (!this.choice.mayTakeMore(step, worker)) {
        candidates = candidates.filter(other => other !== worker);
      }
    }
    return placed;
  }

  /**
   * Places all members or none. The workers' capacity is only counted here; the
   * caller takes it once every member has a worker.
   */
  private placeGang(
    step: StepState,
    waiting: TaskState[],
    workers: WorkerState[],
    now: number,
  ): Placement[] {
    if (waiting.length !== step.tasks.length) return [];
    const members: Placement[] = [];
    const remaining = [...waiting];
    // A worker on which one member failed may fail any other member as well.
    const failedOn = new Set(
      waiting.map(({lastFailedWorkerId}) => lastFailedWorkerId),
    );
    const candidates = workers
      .filter(worker => this.choice.isAllowed(step, waiting[0]!, worker, now))
      .sort(
        (a, b) =>
          Number(failedOn.has(a.id)) - Number(failedOn.has(b.id)) ||
          this.choice.unevenCost(step, a) - this.choice.unevenCost(step, b) ||
          b.freeMilliCores - a.freeMilliCores,
      );
    for (const worker of candidates) {
      const memberCount = Math.min(
        this.choice.fitCount(step, worker),
        remaining.length,
      );
      for (let count = 0; count < memberCount; count++) {
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
    return this.workersByService.get(step.submission.queue.service) ?? [];
  }

  /** Workers approved for the step, including those with expired tickets. */
  private approvedWorkers(step: StepState): WorkerState[] {
    const workers: WorkerState[] = [];
    for (const id of step.advice.tickets.keys()) {
      const worker = this.state.workers.get(id);
      if (worker && step.advice.isApproved(worker)) workers.push(worker);
    }
    return workers;
  }

  private ticketedWorkers(step: StepState, now: number): WorkerState[] {
    const workers: WorkerState[] = [];
    for (const [id, ticket] of step.advice.tickets) {
      const worker = this.state.workers.get(id);
      if (!worker) continue;
      if (isTicketValid(ticket, worker, now)) workers.push(worker);
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

/** True when the step limits the workers of its service by capacity only. */
function isLimitedByCapacityOnly(step: StepState): boolean {
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

function hasWaiting(step: StepState, now: number): boolean {
  return step.tasks.some(task => isWaiting(task, now));
}
