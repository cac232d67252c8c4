import type {
  Queue,
  SubmissionSpecification,
  Team,
} from '@cardamomfield/cell-model';
import {isMeasuredStep} from './is_measured_step.js';
import {ServiceBacklog} from './service_backlog.js';
import type {ShardState} from './shard_state.js';
import type {StepState} from './step_state.js';
import type {SubmissionRecord} from './submission_record.js';
import {TeamDemand} from './team_demand.js';
import {workOfTask} from './work_of_task.js';

/**
 * A task that has been ready for this long waits for capacity, and not for the
 * next scheduling pass, which starts within 100 ms.
 */
const OVERDUE_MILLISECONDS = 500;

/** The same for a step with advice, which may name other workers first. */
const ADVISED_OVERDUE_MILLISECONDS = 2_000;

/** Workers that the first query for a step names at least. */
const NAMED_WORKERS = 10;

interface SurveyOptions {
  now: number;
  nowUnixMilliseconds: number;
  /** The limits of a team; undefined when it has none. */
  limitOf: (team: string) => Team['limit'] | undefined;
  /** True where work that can no longer end in time is served last. */
  servesUsefulFirst: boolean;
}

/** The capacity of a cell and the work that waits for it at one time. */
export class CellBacklog {
  private readonly services = new Map<string, ServiceBacklog>();
  private readonly demands = new Map<string, TeamDemand>();
  /** Time of the advice service that waiting steps need, by priority. */
  private readonly adviceByPriority = new Map<number, number>();
  private usableMilliCores = 0;
  private listedMilliCores = 0;

  private constructor(private readonly options: SurveyOptions) {}

  /** Goes over all submissions and workers once. */
  static survey(state: ShardState, options: SurveyOptions): CellBacklog {
    const backlog = new CellBacklog(options);
    for (const worker of state.workers.values()) {
      const {service, state: listed, milliCores} = worker.description;
      if (listed !== 'ready' || !worker.isListed) continue;
      backlog.listedMilliCores += milliCores;
      if (!worker.isUsable) continue;
      backlog.usableMilliCores += milliCores;
      backlog.serviceOf(service).addWorker(worker);
    }
    for (const submission of state.submissions.values()) {
      if (!submission.ending) backlog.addSubmission(submission);
    }
    backlog.applyLimits();
    return backlog;
  }

  /** True when the owner reaches most of the capacity that is listed. */
  get hasUsableCapacity(): boolean {
    return this.usableMilliCores * 2 > this.listedMilliCores;
  }

  serviceOf(service: string): ServiceBacklog {
    const known = this.services.get(service);
    if (known) return known;
    const created = ServiceBacklog.create();
    this.services.set(service, created);
    return created;
  }

  /** Time of the advice service that steps ahead of a new submission need. */
  adviceAhead(priority: number): number {
    let sum = 0;
    for (const [other, milliseconds] of this.adviceByPriority) {
      if (other <= priority) sum += milliseconds;
    }
    return sum;
  }

  /** Adds a submission that was accepted after the survey. */
  addAccepted(
    queue: Queue,
    specification: SubmissionSpecification,
    team: string,
  ): void {
    if (specification.occurrenceCount > 0) return;
    const backlog = this.serviceOf(queue.service).teamOf(team);
    for (const step of specification.steps) {
      if (!isMeasuredStep(step)) continue;
      backlog.add(queue.priority, workOfTask(step) * step.taskCount);
    }
    this.addAdvice(queue);
  }

  private addSubmission(submission: SubmissionRecord): void {
    const {now, nowUnixMilliseconds, servesUsefulFirst} = this.options;
    const {objective} = submission;
    for (let index = 0; index < submission.occurrenceCount; index++) {
      const dueAt = submission.dueAt(index);
      if (dueAt > nowUnixMilliseconds) break;
      const startedAt = Math.max(submission.acceptedAtUnixMilliseconds, dueAt);
      const isServedLast =
        servesUsefulFirst &&
        startedAt + objective.usefulMilliseconds < nowUnixMilliseconds;
      const steps = submission.stepsOf(index);
      for (const step of steps) {
        if (step.isDone) continue;
        const isReady = step.specification.dependsOn.every(
          other => steps[other]?.isDone,
        );
        this.addStep(step, isReady, isServedLast, now);
      }
    }
  }

  private addStep(
    step: StepState,
    isReady: boolean,
    isServedLast: boolean,
    now: number,
  ): void {
    const {specification, submission, advice} = step;
    const {queue, team} = submission;
    const service = this.serviceOf(queue.service);
    const backlog = service.teamOf(team);
    const demand = this.demandOf(team);
    const overdueBefore = now - overdueMilliseconds(step);
    const waitedUntil = step.nearPlaceWait?.waitedUntil ?? -Infinity;
    let running = 0;
    let waiting = 0;
    let overdue = 0;
    for (const task of step.tasks) {
      if (task.phase === 'placed') {
        running++;
        demand.addRunning(specification);
      } else if (task.phase === 'waiting') {
        waiting++;
        const readyAt = Math.max(task.notBefore, waitedUntil);
        if (task.notBefore > 0 && readyAt <= overdueBefore) overdue++;
      }
    }
    if (isMeasuredStep(specification)) {
      backlog.runningMilliCores += running * specification.milliCores;
    }
    if (waiting === 0 || isServedLast) return;
    if (
      isReady &&
      advice.queriedWorkers.size === 0 &&
      !advice.isQueryInFlight
    ) {
      this.addAdvice(queue);
    }
    if (!isMeasuredStep(specification)) return;
    // Tasks that are too large for every worker hold up nothing.
    if (!service.canHold(specification)) return;
    backlog.add(queue.priority, workOfTask(specification) * waiting);
    if (!isReady) return;
    demand.addWaiting(specification);
    if (showsCapacity(step)) {
      backlog.overdueMilliCores += overdue * specification.milliCores;
    }
  }

  private addAdvice({advice, priority}: Queue): void {
    if (!advice) return;
    const milliseconds =
      advice.decisionMilliseconds +
      advice.perWorkerMilliseconds * NAMED_WORKERS;
    const before = this.adviceByPriority.get(priority) ?? 0;
    this.adviceByPriority.set(priority, before + milliseconds);
  }

  private applyLimits(): void {
    for (const {teams} of this.services.values()) {
      for (const [name, backlog] of teams) {
        const limit = this.options.limitOf(name);
        if (limit) backlog.isAtLimit = this.demandOf(name).exceeds(limit);
      }
    }
  }

  private demandOf(team: string): TeamDemand {
    const known = this.demands.get(team);
    if (known) return known;
    const created = TeamDemand.create();
    this.demands.set(team, created);
    return created;
  }
}

/** True when waiting tasks of the step show that the capacity is in use. */
function showsCapacity({
  specification,
  submission,
  advice,
}: StepState): boolean {
  if (specification.isGang || specification.maximumPerWorker > 0) return false;
  return !submission.queue.advice || advice.tickets.size > 0;
}

function overdueMilliseconds({submission}: StepState): number {
  return submission.queue.advice
    ? ADVISED_OVERDUE_MILLISECONDS
    : OVERDUE_MILLISECONDS;
}
