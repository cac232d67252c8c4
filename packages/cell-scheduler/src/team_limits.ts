import type {SubmissionSpecification, Team} from '@cardamomfield/cell-model';
import {OverloadedError, type TypedError} from '@cardamomfield/errors';
import {type Either, Left, Right} from 'purify-ts';
import type {LimitHold} from './limit_hold.js';
import type {ResourceAmounts} from './resource_amounts.js';
import {RESOURCE_NAMES} from './resource_names.js';
import type {Run} from './run.js';
import type {StepState} from './step_state.js';
import type {TeamDirectory} from './team_directory.js';
import type {TeamUsage} from './team_usage.js';

/** The longest delay that callers are given: only a new limit helps. */
const GANG_RETRY_AFTER_MILLISECONDS = 8_000;

/**
 * Decides how many more tasks a team may have running.
 *
 * Load: one team at times sends 4 to 8 times its usual work, and without limits
 * its runs fill the cell. In a measured run a team had 661 cores with 587
 * allowed.
 */
export class TeamLimits {
  private constructor(
    private readonly usage: TeamUsage,
    private readonly directory: TeamDirectory,
  ) {}

  static create(usage: TeamUsage, directory: TeamDirectory): TeamLimits {
    return new TeamLimits(usage, directory);
  }

  /**
   * Number of further tasks of a step that may be placed; 0 or all of them for a
   * gang. Work of a team waits until the limits are known. `expected` counts as
   * used too.
   */
  countAllowed(step: StepState, expected?: ResourceAmounts): number {
    const {submission, specification} = step;
    if (submission.team === '') return Infinity;
    if (!this.directory.isKnown) return 0;
    const limit = this.directory.find(submission.team)?.limit;
    if (!limit) return Infinity;
    const used = this.usage.usedBy(submission.team);
    let count = Infinity;
    for (const name of RESOURCE_NAMES) {
      count = Math.min(
        count,
        countWithin(
          used[name] + (expected?.[name] ?? 0),
          specification[name],
          limit[name],
        ),
      );
    }
    return specification.isGang && count < step.tasks.length ? 0 : count;
  }

  /**
   * Whether the start of a placed run may be sent. Its intent may have taken
   * long to become durable, and the limit may have been lowered since.
   */
  mayStart(run: Run): boolean {
    const {submission, specification} = run.step;
    const limit = this.directory.find(submission.team)?.limit;
    if (submission.team === '' || !limit) return true;
    const used = this.usage.usedBy(submission.team);
    return RESOURCE_NAMES.every(name => {
      const need = specification[name];
      if (limit[name] === 0 || need === 0) return true;
      return (
        used[name] <= limit[name] || isUnderHalf(used[name] - need, limit[name])
      );
    });
  }

  /** The limit that holds back tasks of a step that may not be placed. */
  holdOf(step: StepState): LimitHold {
    const {submission, specification} = step;
    const {team} = submission;
    const limit = this.directory.find(team)?.limit;
    if (!limit) return {team, resource: undefined, used: 0, limit: 0};
    const used = this.usage.usedBy(team);
    const resource = RESOURCE_NAMES.reduce((a, b) =>
      countWithin(used[b], specification[b], limit[b]) <
      countWithin(used[a], specification[a], limit[a])
        ? b
        : a,
    );
    return {team, resource, used: used[resource], limit: limit[resource]};
  }

  /** What the limit of a team leaves; undefined for resources without one. */
  headroomOf(team: string): Partial<ResourceAmounts> {
    const limit = this.directory.find(team)?.limit;
    const used = this.usage.usedBy(team);
    const headroom: Partial<ResourceAmounts> = {};
    for (const name of RESOURCE_NAMES) {
      if (!limit?.[name]) continue;
      headroom[name] = Math.max(0, limit[name] - used[name]);
    }
    return headroom;
  }

  /** Refuses a gang that exceeds its team's limit alone: it would never start. */
  check(
    team: string,
    specification: SubmissionSpecification,
  ): Either<TypedError, void> {
    const limit = this.directory.find(team)?.limit;
    if (team === '' || !limit) return Right(undefined);
    for (const step of specification.steps) {
      if (!step.isGang || fitsAlone(step, step.taskCount, limit)) continue;
      return Left(
        OverloadedError.create('a gang is larger than the limit of its team', {
          team,
          retryAfterMilliseconds: GANG_RETRY_AFTER_MILLISECONDS,
        }),
      );
    }
    return Right(undefined);
  }
}

/**
 * Number of tasks that fit between a team's use and its limit. One always fits
 * under half of the limit, so that a task larger than the rest, or than the
 * limit, still runs while smaller tasks of the team come and go.
 */
function countWithin(used: number, need: number, limit: number): number {
  if (limit === 0 || need === 0) return Infinity;
  return Math.max(
    isUnderHalf(used, limit) ? 1 : 0,
    Math.floor((limit - used) / need),
  );
}

function isUnderHalf(used: number, limit: number): boolean {
  return used * 2 < limit;
}

function fitsAlone(
  need: ResourceAmounts,
  taskCount: number,
  limit: Team['limit'],
): boolean {
  return RESOURCE_NAMES.every(
    name => countWithin(0, need[name], limit[name]) >= taskCount,
  );
}
