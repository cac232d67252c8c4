import type {Queue, SubmissionSpecification} from '@cardamomfield/cell-model';
import {isMeasuredStep} from './is_measured_step.js';
import type {LoadRefusal} from './load_refusal.js';
import type {ServiceLoad} from './service_load.js';
import {SubmissionObjective} from './submission_objective.js';

/**
 * A chain may take this much longer than estimated: estimates are off by half.
 * The wait needs no such factor, since the backlog and the measured rate are in
 * the same estimates.
 */
const ESTIMATE_ERROR = 1.5;

/**
 * Tasks that run drain at least this share of their millicores. The measured
 * rate is lower after a pause, and while long tasks have only just begun.
 */
const LEAST_DRAIN_SHARE = 0.5;

/** More urgent work leaves at least this share of the rate to the rest. */
const LEAST_REMAINING_SHARE = 0.5;

/**
 * The wait for advice must exceed the useful time of a submission by this
 * factor, so that ordinary bursts are accepted.
 */
const ADVICE_MARGIN = 2;

interface NewSubmission {
  queue: Queue;
  specification: SubmissionSpecification;
  /** Empty when it belongs to no team. */
  team: string;
  /** Whether it is beyond the contract of its team. */
  isExcess: boolean;
}

/** Decides whether a new submission is accepted under the present load. */
export class LoadPolicy {
  private constructor() {}

  static create(): LoadPolicy {
    return new LoadPolicy();
  }

  /** Returns the refusal, or undefined to accept the submission. */
  decide(
    submission: NewSubmission,
    load: ServiceLoad,
  ): LoadRefusal | undefined {
    const {queue, specification, team, isExcess} = submission;
    const own = load.backlog.teams.get(team);
    const isOwnLimitFull = own?.isAtLimit === true && own.overdueMilliCores > 0;
    if (!load.backlog.isFull && !isOwnLimitFull) return undefined;
    const wait = waitMilliseconds(queue.priority, team, load);
    const objective = SubmissionObjective.create(queue, specification);
    if (isExcess) {
      // It waits for the work of others too, since that is within contracts.
      const drain = wholeWaitMilliseconds(queue.priority, team, load);
      // Urgent work may start at once although batch work fills the cell.
      const allowed = objective.milliseconds - objective.chainMilliseconds;
      if (drain <= allowed) return undefined;
      return {
        reason: 'excess',
        waitMilliseconds: wait,
        drainMilliseconds: drain - allowed,
      };
    }
    if (!isPredictable(specification)) return undefined;
    // A chain that takes most of the useful time is not refused for that alone.
    const allowed = Math.max(
      objective.milliseconds,
      objective.usefulMilliseconds -
        objective.chainMilliseconds * ESTIMATE_ERROR,
    );
    if (wait <= allowed) return undefined;
    return {
      reason: 'backlog',
      waitMilliseconds: wait,
      drainMilliseconds: wait - allowed,
    };
  }

  /** Decides by the wait for the advice service alone. */
  decideOnAdvice(
    {queue, specification}: Pick<NewSubmission, 'queue' | 'specification'>,
    adviceWaitMilliseconds: number,
  ): LoadRefusal | undefined {
    const {occurrenceCount, steps} = specification;
    if (!queue.advice || occurrenceCount > 0) return undefined;
    // Lasting tasks are worth as much when they start late.
    if (steps.some(step => step.isService)) return undefined;
    const objective = SubmissionObjective.create(queue, specification);
    const allowed = objective.usefulMilliseconds * ADVICE_MARGIN;
    if (adviceWaitMilliseconds <= allowed) return undefined;
    return {
      reason: 'advice',
      waitMilliseconds: adviceWaitMilliseconds,
      drainMilliseconds: adviceWaitMilliseconds - allowed,
    };
  }
}

/**
 * Expected time until a new submission starts: that of the backlog of its team
 * at the team's share of the rate, or that of the whole backlog if it is less,
 * since teams use what others leave. Work without a team comes before all shares
 * and waits for no team's backlog.
 */
function waitMilliseconds(
  priority: number,
  team: string,
  load: ServiceLoad,
): number {
  const {backlog} = load;
  const wholeWait = wholeWaitMilliseconds(priority, team, load);
  const own = backlog.teams.get(team);
  if (!own) return 0;
  const share = team === '' ? 1 : shareOf(team, load);
  const shareRate = rateFor(load) * share;
  const ownRate = own.isAtLimit
    ? Math.max(own.runningMilliCores, shareRate)
    : shareRate;
  const ownWait = own.workAhead(priority) / Math.max(1, ownRate);
  return own.isAtLimit ? ownWait : Math.min(wholeWait, ownWait);
}

/** Expected time until the whole backlog ahead of a submission is done. */
function wholeWaitMilliseconds(
  priority: number,
  team: string,
  load: ServiceLoad,
): number {
  return load.backlog.workAhead(team, priority) / rateFor(load);
}

/**
 * Rate at which work of the submission's priority is done. Capacity that is free
 * while tasks wait does not fit them and does not count.
 */
function rateFor(load: ServiceLoad): number {
  const {backlog, rateMilliCores, urgentRateMilliCores} = load;
  const drained = Math.max(
    rateMilliCores,
    backlog.runningMilliCores * LEAST_DRAIN_SHARE,
  );
  const remaining = Math.max(
    drained - urgentRateMilliCores,
    drained * LEAST_REMAINING_SHARE,
  );
  return Math.max(1, remaining);
}

/** Share of the capacity that a team may rely on, by weight. */
function shareOf(team: string, {backlog, weightOf}: ServiceLoad): number {
  let sum = 0;
  for (const name of backlog.teams.keys()) sum += weightOf(name);
  return weightOf(team) / Math.max(weightOf(team), sum);
}

/** Whether the end can be estimated: not for timed or lasting work. */
function isPredictable({
  occurrenceCount,
  steps,
}: SubmissionSpecification): boolean {
  return occurrenceCount === 0 && steps.every(isMeasuredStep);
}
