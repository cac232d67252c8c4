import {isTicketValid} from './is_ticket_valid.js';
import type {NearPlaceEvent} from './near_place_event.js';
import {NearPlaceRack} from './near_place_rack.js';
import type {NearPlaceRule} from './near_place_rule.js';
import {NearPlaceWait} from './near_place_wait.js';
import {remainingRunMilliseconds} from './remaining_run_milliseconds.js';
import type {Run} from './run.js';
import type {StepState} from './step_state.js';
import type {TaskState} from './task_state.js';
import type {WorkerChoice} from './worker_choice.js';
import type {WorkerPerformance} from './worker_performance.js';
import type {WorkerState} from './worker_state.js';

/** Longest wait of a step. Work must not wait for 3 s beside free capacity. */
const MAXIMUM_WAIT_MILLISECONDS = 1_500;

/** A wait begins only if it gains this share of the run time or more. */
const MINIMUM_GAIN_SHARE = 0.1;

/**
 * Preemption starts no sooner than this after a wait, as it does after a task
 * has become ready.
 */
const PREEMPTION_DELAY_MILLISECONDS = 120;

interface NearPlaceOptions {
  /** Factor on run times away from the data or the group; 1 when not known. */
  farPlacePenalty: number;
  choice: WorkerChoice;
  performance: WorkerPerformance;
}

/** A request for places apart from its limits in time. */
type PlaceTerms = Omit<
  Parameters<NearPlaceRack['claim']>[0],
  'horizonMilliseconds' | 'latestEndMilliseconds'
>;

/** What a step gets if it starts on the best far worker now. */
interface FarStart {
  factor: number;
  runMilliseconds: number;
  endMilliseconds: number;
}

/**
 * Compares the end of a run that starts far away now with that of one which
 * waits for a place in the near rack. The question arises when a step that has
 * such a rack would get a far worker; it is decided once for the step.
 */
export class NearPlacePolicy implements NearPlaceRule {
  private now = 0;
  private nowUnixMilliseconds = 0;
  private workersByService: ReadonlyMap<string, WorkerState[]> = new Map();
  /** By service and rack, as far as the pass has asked for them. */
  private readonly racksByService = new Map<
    string,
    Map<string, NearPlaceRack>
  >();
  private events: NearPlaceEvent[] = [];
  private deadline = Infinity;
  /** Tasks of each step that wait, as far as the pass has asked. */
  private readonly heldCounts = new Map<StepState, number>();

  private constructor(private readonly options: NearPlaceOptions) {}

  static create(options: NearPlaceOptions): NearPlacePolicy {
    return new NearPlacePolicy(options);
  }

  get nextDeadline(): number {
    return this.deadline;
  }

  beginPass(
    now: number,
    nowUnixMilliseconds: number,
    workersByService: ReadonlyMap<string, WorkerState[]>,
  ): void {
    this.now = now;
    this.nowUnixMilliseconds = nowUnixMilliseconds;
    this.workersByService = workersByService;
    this.racksByService.clear();
    this.deadline = Infinity;
    this.heldCounts.clear();
  }

  takeEvents(): NearPlaceEvent[] {
    const {events} = this;
    this.events = [];
    return events;
  }

  rackFor(step: StepState, candidates: readonly WorkerState[]): string {
    const {farPlacePenalty, choice} = this.options;
    if (farPlacePenalty <= 1 || step.tasks.length < 2) return '';
    this.resume(step);
    const known = step.nearPlaceWait?.rack ?? '';
    if (known !== '') return known;
    // A round may place fewer, and the others follow.
    const waitingCount = countWaiting(step.tasks);
    const fits = new Map<string, number>();
    for (const worker of candidates) {
      if (worker.rack === '') continue;
      const count = fits.get(worker.rack) ?? 0;
      fits.set(worker.rack, count + choice.fitCount(step, worker));
    }
    let rack = '';
    let leastFits = Infinity;
    for (const [name, count] of fits) {
      if (count < waitingCount || count >= leastFits) continue;
      rack = name;
      leastFits = count;
    }
    if (rack !== '') return rack;
    const wait = step.nearPlaceWait;
    if (wait && !wait.isActive(this.now)) return '';
    return this.soonestRack(step);
  }

  mayPlace(
    step: StepState,
    task: TaskState,
    worker: WorkerState,
    waiting: readonly TaskState[],
    rack: string,
  ): boolean {
    if (rack === '' || worker.rack === rack) return true;
    if (this.options.farPlacePenalty <= 1) return true;
    this.resume(step);
    const wait = step.nearPlaceWait;
    if (wait && !wait.isActive(this.now)) return true;
    // A task that failed avoids the worker, which may be the only near one.
    if (task.lastFailedWorkerId !== '') return true;
    const decided = this.heldCounts.get(step);
    if (decided === undefined) {
      const held = waiting.filter(({phase}) => phase === 'waiting');
      const far = this.farStart(step, worker);
      const count = wait
        ? this.keep(step, wait, held, far, rack)
        : this.begin(step, held, far, rack);
      if (count === 0) return true;
      this.heldCounts.set(step, count);
    }
    const heldCount = this.heldCounts.get(step) ?? 0;
    return countWaiting(waiting) > heldCount;
  }

  nearOf(step: StepState, workers: WorkerState[]): WorkerState[] {
    const wait = step.nearPlaceWait;
    if (!wait) return workers;
    return workers.filter(
      worker =>
        worker.rack === wait.rack &&
        this.factorOf(step, worker) < this.options.farPlacePenalty,
    );
  }

  notePlaced(step: StepState): number {
    const wait = step.nearPlaceWait;
    if (!wait || wait.outcome !== undefined) return 0;
    this.resume(step);
    if (step.isUnderWay) {
      this.end(step, wait, 'near');
    } else if (!wait.isActive(this.now)) {
      this.end(step, wait, 'deadline');
    } else {
      this.deadline = Math.min(this.deadline, wait.endsAt);
      return this.heldCounts.get(step) ?? Infinity;
    }
    return 0;
  }

  /** Begins a wait if it pays. Returns the number of tasks that wait. */
  private begin(
    step: StepState,
    waiting: readonly TaskState[],
    far: FarStart,
    rack: string,
  ): number {
    // A group is worth the longest wait: of one that is split, all later tasks
    // take longer, and each of them keeps others from capacity.
    const limit = Math.min(
      MAXIMUM_WAIT_MILLISECONDS,
      isGrouped(step) ? Infinity : far.endMilliseconds - far.runMilliseconds,
      this.slackMilliseconds(step, far),
    );
    const minimumGain = far.runMilliseconds * MINIMUM_GAIN_SHARE;
    if (
      limit < minimumGain ||
      !mayWait(step, waiting, this.now) ||
      this.isSplit(step)
    ) {
      this.decline(step);
      return 0;
    }
    const {count, gainMilliseconds} = this.claim(
      step,
      waiting,
      far,
      rack,
      limit,
      minimumGain,
    );
    if (count === 0) {
      this.decline(step);
      return 0;
    }
    const wait = NearPlaceWait.create(
      rack,
      this.now,
      this.now + limit,
      this.nowUnixMilliseconds + Math.ceil(limit),
      far.factor,
      gainMilliseconds,
    );
    // Places are for any of the tasks; those that start far come first.
    for (const task of waiting.slice(-count)) wait.heldTasks.add(task);
    step.nearPlaceWait = wait;
    this.note(step, wait, 'begun', limit);
    return count;
  }

  /** Returns the number of tasks that still wait; ends the wait if it is 0. */
  private keep(
    step: StepState,
    wait: NearPlaceWait,
    waiting: readonly TaskState[],
    far: FarStart,
    rack: string,
  ): number {
    wait.rack = rack;
    const limit = wait.endsAt - this.now;
    const {count} = this.claim(step, waiting, far, rack, limit, 0);
    if (count === 0) this.end(step, wait, 'early');
    return count;
  }

  private decline(step: StepState): void {
    step.nearPlaceWait = NearPlaceWait.none(this.now, this.nowUnixMilliseconds);
  }

  /**
   * Claims near places for the tasks that gain by waiting for them. A group waits
   * as a whole, since all tasks that start once it is split take longer: if the
   * tasks with a place gain more than the others lose.
   */
  private claim(
    step: StepState,
    waiting: readonly TaskState[],
    far: FarStart,
    rack: string,
    limitMilliseconds: number,
    minimumGain: number,
  ): {count: number; gainMilliseconds: number} {
    const nothing = {count: 0, gainMilliseconds: 0};
    const places = this.racksOf(step).get(rack);
    if (!places) return nothing;
    const {count, sumOfEnds, release} = places.claim({
      ...this.request(step, waiting, far.runMilliseconds),
      horizonMilliseconds: horizonOf(limitMilliseconds, far),
      latestEndMilliseconds: far.endMilliseconds - minimumGain,
    });
    if (count === 0) return nothing;
    const gain = count * far.endMilliseconds - sumOfEnds;
    if (!isGrouped(step)) return {count, gainMilliseconds: gain / count};
    const total = gain - (waiting.length - count) * limitMilliseconds;
    if (total > minimumGain * waiting.length) {
      return {
        count: waiting.length,
        gainMilliseconds: total / waiting.length,
      };
    }
    release();
    return nothing;
  }

  private request(
    step: StepState,
    waiting: readonly TaskState[],
    runMilliseconds: number,
  ): PlaceTerms {
    const {choice, farPlacePenalty} = this.options;
    const {now} = this;
    const [task] = waiting;
    const needsTicket = step.submission.queue.advice !== undefined;
    return {
      step,
      count: waiting.length,
      runMilliseconds,
      factorOf: worker => {
        const factor = this.factorOf(step, worker);
        if (factor >= farPlacePenalty) return undefined;
        return choice.isEligible(step, worker, now) ? factor : undefined;
      },
      isOpenAt: (worker, at) => {
        if (!needsTicket) return true;
        const ticket = step.advice.tickets.get(worker.id);
        return ticket !== undefined && isTicketValid(ticket, worker, now + at);
      },
      openFrom: worker =>
        task ? choice.avoidedUntil(step, task, worker, now) - now : 0,
    };
  }

  private farStart(step: StepState, worker: WorkerState): FarStart {
    const {farPlacePenalty, performance} = this.options;
    const factor = farPlacePenalty * this.factorOf(step, worker);
    const runMilliseconds = performance.expectedMilliseconds(
      step,
      farPlacePenalty,
    );
    return {
      factor,
      runMilliseconds,
      endMilliseconds: factor * runMilliseconds,
    };
  }

  /**
   * How long the step can wait and then still start far away without a loss to
   * its caller: a submission that would end within its objective, or within the
   * time in which it is worth something, still does so.
   */
  private slackMilliseconds(step: StepState, far: FarStart): number {
    const {submission, specification} = step;
    const {objective} = submission;
    const dueAt = Math.max(
      submission.acceptedAtUnixMilliseconds,
      submission.dueAt(step.occurrence),
    );
    const later =
      objective.remainingMilliseconds(step.index) -
      specification.estimatedMilliseconds;
    const total =
      this.nowUnixMilliseconds - dueAt + far.endMilliseconds + later;
    for (const bound of [
      objective.milliseconds,
      objective.usefulMilliseconds,
    ]) {
      if (total <= bound) return bound - total;
    }
    return Infinity;
  }

  /** The rack that has the most places for the tasks, and these the soonest. */
  private soonestRack(step: StepState): string {
    const {farPlacePenalty, performance} = this.options;
    const waiting = step.tasks.filter(({phase}) => phase === 'waiting');
    if (!mayWait(step, waiting, this.now)) return '';
    const run = performance.expectedMilliseconds(step, farPlacePenalty);
    const request = {
      ...this.request(step, waiting, run),
      horizonMilliseconds: MAXIMUM_WAIT_MILLISECONDS,
      latestEndMilliseconds: run * farPlacePenalty,
    };
    let soonest = '';
    let mostPlaces = 0;
    let leastSum = Infinity;
    for (const [name, rack] of this.racksOf(step)) {
      const {count, sumOfEnds, release} = rack.claim(request);
      release();
      if (count < mostPlaces || count === 0) continue;
      if (count === mostPlaces && sumOfEnds >= leastSum) continue;
      soonest = name;
      mostPlaces = count;
      leastSum = sumOfEnds;
    }
    return soonest;
  }

  /** True for a tightly coupled step that runs on more than one rack. */
  private isSplit(step: StepState): boolean {
    if (!isGrouped(step)) return false;
    const running = new Set(
      step.tasks.flatMap(({run}) => (run ? [run.workerId] : [])),
    );
    const racks = new Set<string>();
    for (const {id, rack} of this.serviceWorkers(step)) {
      if (running.has(id)) racks.add(rack);
    }
    return racks.size > 1;
  }

  private racksOf(step: StepState): ReadonlyMap<string, NearPlaceRack> {
    const {service} = step.submission.queue;
    const known = this.racksByService.get(service);
    if (known) return known;
    const workersByRack = new Map<string, WorkerState[]>();
    for (const worker of this.serviceWorkers(step)) {
      if (worker.rack === '') continue;
      const others = workersByRack.get(worker.rack);
      if (others) others.push(worker);
      else workersByRack.set(worker.rack, [worker]);
    }
    const racks = new Map<string, NearPlaceRack>();
    for (const [name, workers] of workersByRack) {
      const remainingOf = (run: Run, worker: WorkerState) =>
        this.remainingOf(run, worker);
      racks.set(name, NearPlaceRack.create(workers, remainingOf));
    }
    this.racksByService.set(service, racks);
    return racks;
  }

  private remainingOf(run: Run, worker: WorkerState): number {
    const {farPlacePenalty, performance} = this.options;
    const {dataRack} = run.step.specification;
    const isFar = dataRack !== '' && dataRack !== worker.rack;
    const expected =
      performance.expectedMilliseconds(run.step, farPlacePenalty) *
      worker.judgement.slowdown *
      (isFar ? farPlacePenalty : 1);
    return remainingRunMilliseconds(run, expected, this.now);
  }

  private factorOf(step: StepState, worker: WorkerState): number {
    return this.options.choice.timeFactor(step, worker);
  }

  private serviceWorkers(step: StepState): readonly WorkerState[] {
    return this.workersByService.get(step.submission.queue.service) ?? [];
  }

  /** Takes over the deadline of an earlier owner, whose clock may differ. */
  private resume(step: StepState): void {
    const wait = step.nearPlaceWait;
    if (!wait?.isRestored) return;
    const left = wait.endsAtUnixMilliseconds - this.nowUnixMilliseconds;
    wait.endsAt =
      this.now + Math.max(0, Math.min(left, MAXIMUM_WAIT_MILLISECONDS));
    // It ended before the takeover, and counted there.
    if (left <= 0) wait.end('deadline', this.now, this.nowUnixMilliseconds);
  }

  private end(
    step: StepState,
    wait: NearPlaceWait,
    outcome: 'near' | 'deadline' | 'early',
  ): void {
    wait.end(outcome, this.now, this.nowUnixMilliseconds);
    step.preemptionRetryAt = Math.max(
      step.preemptionRetryAt,
      this.now + PREEMPTION_DELAY_MILLISECONDS,
    );
    const waited = this.now - wait.beganAt;
    this.note(step, wait, outcome, Number.isNaN(waited) ? 0 : waited);
  }

  private note(
    step: StepState,
    wait: NearPlaceWait,
    kind: NearPlaceEvent['kind'],
    milliseconds: number,
  ): void {
    this.events.push({
      step,
      kind,
      rack: wait.rack,
      milliseconds: Math.round(milliseconds),
      heldCount: wait.heldTasks.size,
      gainMilliseconds: Math.round(wait.gainMilliseconds),
    });
  }
}

/**
 * Latest expected time of a place that is worth a wait. A place expected at r
 * comes at any time up to 2r, so before the limit W with probability W / 2r. A
 * wait gains G less W / 2 on average if it comes and else loses W, so it pays up
 * to r = (G + W / 2) / 2.
 */
function horizonOf(
  limitMilliseconds: number,
  {endMilliseconds, runMilliseconds}: FarStart,
): number {
  const gain = endMilliseconds - runMilliseconds;
  return Math.max(limitMilliseconds, (gain + limitMilliseconds / 2) / 2);
}

/** Whether the tasks belong near one another in place of near their data. */
function isGrouped({specification}: StepState): boolean {
  return specification.isTightlyCoupled && specification.dataRack === '';
}

function countWaiting(tasks: readonly TaskState[]): number {
  let count = 0;
  for (const {phase} of tasks) if (phase === 'waiting') count++;
  return count;
}

/** False for steps whose tasks never wait for a near place. */
function mayWait(
  step: StepState,
  waiting: readonly TaskState[],
  now: number,
): boolean {
  const {isGang, isService} = step.specification;
  if (isGang || isService) return false;
  // Capacity was freed for the step.
  if (step.reservedUntil > now) return false;
  // The remaining time of a task that continues from a checkpoint is not known.
  return waiting.every(({checkpoint}) => checkpoint === '');
}
