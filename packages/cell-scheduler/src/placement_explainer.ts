import {isTicketValid} from './is_ticket_valid.js';
import {NearPlacePolicy} from './near_place_policy.js';
import type {PlacementExplanation} from './placement_explanation.js';
import type {ShardState} from './shard_state.js';
import type {StepState} from './step_state.js';
import {SubmissionRecord} from './submission_record.js';
import type {TaskState} from './task_state.js';
import type {TeamLimits} from './team_limits.js';
import type {WorkerChoice} from './worker_choice.js';
import type {WorkerExclusion} from './worker_exclusion.js';
import type {WorkerPerformance} from './worker_performance.js';
import type {WorkerState} from './worker_state.js';

/** Steps in one answer; a submission may have thousands. */
const MAXIMUM_STEPS = 20;

/** Workers that are named for each reason. */
const MAXIMUM_EXAMPLES = 5;

type StepExplanation = PlacementExplanation['steps'][number];
type Obstacle = StepExplanation['waitsFor'][number];

interface PlacementExplainerOptions {
  state: ShardState;
  choice: WorkerChoice;
  limits: TeamLimits;
  performance: WorkerPerformance;
  farPlacePenalty: number;
}

/** The time of an explanation. */
interface Times {
  now: number;
  nowUnixMilliseconds: number;
}

/**
 * Tells where tasks would be placed now and why not. It changes nothing, and
 * leaves out the work that comes first, preemption and the shares of teams.
 */
export class PlacementExplainer {
  private constructor(private readonly options: PlacementExplainerOptions) {}

  static create(options: PlacementExplainerOptions): PlacementExplainer {
    return new PlacementExplainer(options);
  }

  /** Undefined for an unknown submission. */
  explainSubmission(
    id: string,
    times: Times,
  ): PlacementExplanation | undefined {
    const {state} = this.options;
    const submission = state.submissions.get(id);
    const described = state.describe(id);
    if (described === undefined) return undefined;
    if (!submission) return {id, state: described, steps: [], omittedSteps: 0};
    return {id, ...this.explain(withSteps(submission), described, times)};
  }

  /** A request that is not sent, so that its record is not part of the state. */
  explainRequest(
    submission: SubmissionRecord,
    times: Times,
  ): PlacementExplanation {
    return this.explain(withSteps(submission), 'not sent', times);
  }

  private explain(
    submission: SubmissionRecord,
    state: string,
    times: Times,
  ): PlacementExplanation {
    const {team, queue} = submission;
    const unfinished = submission.occurrences
      .flat()
      .filter(step => !step.isDone);
    return {
      state,
      queue: queue.name,
      team:
        team === ''
          ? undefined
          : {name: team, headroom: this.options.limits.headroomOf(team)},
      steps: unfinished
        .slice(0, MAXIMUM_STEPS)
        .map(step => this.explainStep(step, times)),
      omittedSteps: Math.max(0, unfinished.length - MAXIMUM_STEPS),
    };
  }

  private explainStep(step: StepState, times: Times): StepExplanation {
    const {limits} = this.options;
    const {now, nowUnixMilliseconds} = times;
    const count = (phase: TaskState['phase']) =>
      step.tasks.filter(task => task.phase === phase).length;
    const explanation: StepExplanation = {
      occurrence: step.occurrence,
      step: step.index,
      waiting: count('waiting'),
      placed: count('placed'),
      done: count('done'),
      waitsFor: [],
      openWorkers: 0,
      excluded: [],
    };
    const waiting = step.tasks.filter(({phase}) => phase === 'waiting');
    const task = waiting.find(({notBefore}) => notBefore <= now) ?? waiting[0];
    if (!task) return explanation;
    const {waitsFor} = explanation;
    const toUnix = (monotonic: number) =>
      Math.round(nowUnixMilliseconds + monotonic - now);
    waitsFor.push(...obstaclesBefore(step, task, times, toUnix));
    const {team} = step.submission;
    if (limits.countAllowed(step) === 0) {
      const {resource, used, limit} = limits.holdOf(step);
      waitsFor.push(
        resource === undefined
          ? {reason: 'unknown-limits'}
          : {
              reason: 'team-limit',
              detail: `${team} uses ${used} of ${limit} ${resource}`,
            },
      );
    }
    const open = this.sortOut(step, task, explanation, times);
    if (open.length === 0) {
      const lacksTickets = explanation.excluded.some(
        ({reason}) => reason === 'no-ticket',
      );
      waitsFor.push({
        reason: lacksTickets ? 'advice' : 'capacity',
        detail: step.advice.isQueryInFlight ? 'asked' : undefined,
      });
      return explanation;
    }
    if (step.specification.isGang && !this.holdsGang(step, waiting, open)) {
      waitsFor.push({reason: 'capacity', detail: 'for the whole gang'});
      return explanation;
    }
    const worker = this.choose(step, task, waiting, open, times);
    const wait = step.nearPlaceWait;
    if (!worker && wait) {
      const until = Math.round(wait.endsAtUnixMilliseconds);
      waitsFor.push({reason: 'near-place', until, detail: wait.rack});
    }
    if (waitsFor.length === 0 && worker) {
      explanation.worker = worker.id;
      explanation.rack = worker.rack || undefined;
    }
    const {queue, id} = step.submission;
    if (queue.advice && id === '') {
      // Which workers it approves is known only once it has been asked.
      waitsFor.push({reason: 'advice', detail: 'not asked before it is sent'});
    }
    return explanation;
  }

  /** Returns the workers that may take the task; notes the others by reason. */
  private sortOut(
    step: StepState,
    task: TaskState,
    explanation: StepExplanation,
    {now}: Times,
  ): WorkerState[] {
    const {state, choice} = this.options;
    const needsTicket =
      step.submission.queue.advice !== undefined && step.submission.id !== '';
    const excluded = new Map<WorkerExclusion, string[]>();
    const open: WorkerState[] = [];
    for (const worker of state.workers.values()) {
      let reason = choice.exclusionOf(step, task, worker, now);
      if (!reason && needsTicket) {
        const ticket = step.advice.tickets.get(worker.id);
        if (!ticket || !isTicketValid(ticket, worker, now)) {
          reason = 'no-ticket';
        }
      }
      if (reason) {
        const ids = excluded.get(reason);
        if (ids) ids.push(worker.id);
        else excluded.set(reason, [worker.id]);
      } else {
        open.push(worker);
      }
    }
    explanation.openWorkers = open.length;
    explanation.excluded = [...excluded].map(([reason, ids]) => ({
      reason,
      count: ids.length,
      workers: ids.slice(0, MAXIMUM_EXAMPLES),
    }));
    return open;
  }

  private holdsGang(
    step: StepState,
    waiting: readonly TaskState[],
    open: readonly WorkerState[],
  ): boolean {
    const fits = open.reduce(
      (sum, worker) => sum + this.options.choice.fitCount(step, worker),
      0,
    );
    return fits >= waiting.length;
  }

  /**
   * The worker that the task would get; undefined if it waits for a near place.
   * A step that was not sent is asked whether it would wait; one that was is not
   * asked, since the answer is kept.
   */
  private choose(
    step: StepState,
    task: TaskState,
    waiting: TaskState[],
    open: WorkerState[],
    {now, nowUnixMilliseconds}: Times,
  ): WorkerState | undefined {
    const {choice, state} = this.options;
    const {dataRack, isTightlyCoupled, isGang} = step.specification;
    const rack = isTightlyCoupled ? this.rackOf(step) : '';
    const worker = choice.choose(step, task, open, rack);
    const nearRack = dataRack || rack;
    if (!worker || nearRack === '' || worker.rack === nearRack || isGang) {
      return worker;
    }
    if (step.submission.id !== '') {
      return step.nearPlaceWait?.isActive(now) ? undefined : worker;
    }
    const policy = NearPlacePolicy.create(this.options);
    const {service} = step.submission.queue;
    const workers = [...state.workers.values()].filter(
      ({description}) => description.service === service,
    );
    policy.beginPass(now, nowUnixMilliseconds, new Map([[service, workers]]));
    return policy.mayPlace(step, task, worker, waiting, nearRack)
      ? worker
      : undefined;
  }

  private rackOf(step: StepState): string {
    const workerId = step.tasks.find(({run}) => run)?.run?.workerId ?? '';
    return this.options.state.workers.get(workerId)?.rack ?? '';
  }
}

/**
 * The submission, or if it has no steps yet, a copy with the first occurrence.
 * Others would be alike, and passes create the steps when they are due.
 */
function withSteps(submission: SubmissionRecord): SubmissionRecord {
  if (submission.occurrences.length > 0) return submission;
  const copy = SubmissionRecord.create(
    submission.id,
    submission.queue,
    submission.specification,
    submission.acceptedAtUnixMilliseconds,
    submission.acceptedWithinBytes,
    submission.team,
  );
  copy.stepsOf(0);
  return copy;
}

/** What a task waits for before workers matter. */
function obstaclesBefore(
  step: StepState,
  task: TaskState,
  {now, nowUnixMilliseconds}: Times,
  toUnix: (monotonic: number) => number,
): Obstacle[] {
  const obstacles: Obstacle[] = [];
  const {submission, occurrence, specification} = step;
  const steps = submission.stepsOf(occurrence);
  const earlier = specification.dependsOn.filter(
    index => !steps[index]?.isDone,
  );
  if (earlier.length > 0) {
    obstacles.push({reason: 'earlier-steps', detail: earlier.join(', ')});
  }
  const dueAt = submission.dueAt(occurrence);
  if (dueAt > nowUnixMilliseconds) {
    obstacles.push({reason: 'due-time', until: dueAt});
  }
  if (step.setAsideUntil > now) {
    obstacles.push({reason: 'error', until: toUnix(step.setAsideUntil)});
  }
  if (task.notBefore > now) {
    obstacles.push({reason: 'retry-delay', until: toUnix(task.notBefore)});
  }
  return obstacles;
}
