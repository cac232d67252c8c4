import type {Clock, RandomSource} from '@cardamomfield/clock';
import {
  DeadlineExceededError,
  RefusedError,
  type TypedError,
  UncertainError,
} from '@cardamomfield/errors';
import type {TaskIdentity} from '@cardamomfield/types';
import {type Either, Left, Right} from 'purify-ts';
import type {z} from 'zod';
import type {GangJob} from './gang_job.js';
import {GangSettings} from './gang_settings.js';
import type {GroupOffer} from './group_offer.js';
import type {HoldClient} from './hold_client.js';
import type {PlacedTask} from './placed_task.js';
import {planGang} from './plan_gang.js';

interface Dependencies {
  clock: Clock;
  random: RandomSource;
  client: HoldClient;
  /** The latest offers of all groups that can run the gang's service. */
  offers: () => readonly GroupOffer[];
  settings?: z.input<typeof GangSettings>;
}

type Plan = Array<{group: string; count: number}>;

/** Outcome of one attempt. A failed attempt has released all its holds. */
type Attempt =
  | {type: 'started'; placed: PlacedTask[]}
  | {type: 'failed'}
  | {type: 'in-doubt'; error: TypedError};

/**
 * Starts all tasks of a gang on several owners, or none. Holds are acquired
 * one after another in the order of group names. When a hold is refused, all
 * holds are released before the next attempt, so gangs cannot deadlock. Random
 * back-off between attempts lets one of several contending gangs succeed.
 */
export class GangReservation {
  private readonly settings: GangSettings;

  private constructor(private readonly dependencies: Dependencies) {
    this.settings = GangSettings.parse(dependencies.settings ?? {});
  }

  static create(dependencies: Dependencies): GangReservation {
    return new GangReservation(dependencies);
  }

  /**
   * Retries until the gang has started, its deadline has passed or the signal
   * aborts. `UncertainError` means that some groups may have started their
   * tasks; the caller must stop the gang.
   */
  async run(
    gang: GangJob,
    signal?: AbortSignal,
  ): Promise<Either<TypedError, PlacedTask[]>> {
    const {clock} = this.dependencies;
    const maximumPlaces = new Map<string, number>();
    let maximumBackoff = this.settings.firstBackoffMilliseconds;
    while (clock.wallNow() < gang.deadline && !signal?.aborted) {
      const plan = planGang(gang, this.dependencies.offers(), maximumPlaces);
      // When the limits learned from refusals allow no plan, drop them.
      if (!plan) maximumPlaces.clear();
      const attempt = plan
        ? await this.attempt(gang, plan, maximumPlaces)
        : ({type: 'failed'} as const);
      if (attempt.type === 'started') return Right(attempt.placed);
      if (attempt.type === 'in-doubt') return Left(attempt.error);
      await this.backOff(gang, maximumBackoff, signal);
      maximumBackoff = Math.min(
        2 * maximumBackoff,
        this.settings.longestBackoffMilliseconds,
      );
    }
    return Left(notStarted(gang, signal));
  }

  private async attempt(
    gang: GangJob,
    plan: Plan,
    maximumPlaces: Map<string, number>,
  ): Promise<Attempt> {
    const deadline = this.holdDeadline(gang);
    if (!(await this.holdAll(gang, plan, deadline, maximumPlaces))) {
      return {type: 'failed'};
    }
    const margin = this.settings.commitMarginMilliseconds;
    if (deadline - this.dependencies.clock.wallNow() < margin) {
      await this.releaseAll(gang, plan);
      return {type: 'failed'};
    }
    const placed = await this.commitAll(gang, plan);
    if (!placed) {
      await this.releaseAll(gang, plan);
      return {type: 'failed'};
    }
    return this.startAll(gang, plan, placed);
  }

  private async holdAll(
    gang: GangJob,
    plan: Plan,
    deadline: number,
    maximumPlaces: Map<string, number>,
  ): Promise<boolean> {
    const {key, service, demand} = gang;
    for (const [planIndex, {group, count}] of plan.entries()) {
      const answer = await this.dependencies.client.hold({
        gangKey: key,
        group,
        service,
        demand,
        count,
        deadline,
      });
      if (answer.isRight()) continue;
      maximumPlaces.set(group, freePlacesFrom(answer, count));
      // Release the failed hold too, since its answer may have been lost.
      await this.releaseAll(gang, plan.slice(0, planIndex + 1));
      return false;
    }
    return true;
  }

  private async commitAll(
    gang: GangJob,
    plan: Plan,
  ): Promise<PlacedTask[] | undefined> {
    const {key, attempt} = gang;
    let nextIndex = 0;
    const answers = await Promise.all(
      plan.map(({group, count}) => {
        const tasks: TaskIdentity[] = [];
        for (let i = 0; i < count; i++) {
          tasks.push({key, index: nextIndex++, attempt});
        }
        const {team, service, declaredRunMilliseconds} = gang;
        const kind = 'gang' as const;
        const info = {team, service, kind, declaredRunMilliseconds};
        return this.dependencies.client.commit({
          gangKey: key,
          group,
          tasks,
          info,
        });
      }),
    );
    const placed: PlacedTask[] = [];
    for (const answer of answers) {
      if (answer.isLeft()) return undefined;
      placed.push(...(answer.extract() as PlacedTask[]));
    }
    return placed;
  }

  private async startAll(
    gang: GangJob,
    plan: Plan,
    placed: PlacedTask[],
  ): Promise<Attempt> {
    const answers = await Promise.all(
      plan.map(({group}) => this.dependencies.client.start(gang.key, group)),
    );
    const failed = plan.filter((_, i) => answers[i]!.isLeft());
    if (failed.length === 0) return {type: 'started', placed};
    const groups = failed.map(({group}) => group);
    return {
      type: 'in-doubt',
      error: UncertainError.create(
        `gang ${gang.key} may have started in part: no start was confirmed ` +
          `by ${groups.join(', ')}`,
        {key: gang.key, groups},
      ),
    };
  }

  private async releaseAll(gang: GangJob, plan: Plan): Promise<void> {
    await Promise.all(
      plan.map(({group}) => this.dependencies.client.release(gang.key, group)),
    );
  }

  private holdDeadline(gang: GangJob): number {
    const {holdMilliseconds, commitMarginMilliseconds} = this.settings;
    const latest = gang.deadline + commitMarginMilliseconds;
    return Math.min(
      this.dependencies.clock.wallNow() + holdMilliseconds,
      latest,
    );
  }

  private async backOff(
    gang: GangJob,
    maximumBackoff: number,
    signal: AbortSignal | undefined,
  ): Promise<void> {
    const {clock, random} = this.dependencies;
    const backoff = 1 + random.fraction() * maximumBackoff;
    const remaining = Math.max(0, gang.deadline - clock.wallNow());
    const deadline = clock.monotonicNow() + Math.min(backoff, remaining);
    await clock.sleepUntil(deadline, signal);
  }
}

/**
 * Free places that a refusal reports, limited to fewer than were requested; 0
 * when the error reports none. A place is capacity for one task on one worker.
 */
function freePlacesFrom(
  answer: Either<TypedError, void>,
  count: number,
): number {
  const error = answer.swap().extract();
  if (!(error instanceof RefusedError)) return 0;
  const places = error.details['places'];
  return typeof places === 'number' ? Math.min(places, count - 1) : 0;
}

function notStarted(gang: GangJob, signal?: AbortSignal): TypedError {
  const cause = signal?.aborted ? 'it was cancelled' : 'its deadline passed';
  return DeadlineExceededError.create(
    `gang ${gang.key} was not started: ${cause} before ` +
      `${gang.taskCount} places were free at once`,
    {key: gang.key, taskCount: gang.taskCount},
  );
}
