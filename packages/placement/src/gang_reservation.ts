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

interface Parts {
  clock: Clock;
  random: RandomSource;
  client: HoldClient;
  /** The latest offers of all groups that can run the gang's service. */
  offers: () => readonly GroupOffer[];
  settings?: z.input<typeof GangSettings>;
}

type Plan = Array<{group: string; count: number}>;

/** Outcome of one attempt; a failed attempt has freed everything it held. */
type Attempt =
  | {type: 'started'; placed: PlacedTask[]}
  | {type: 'failed'}
  | {type: 'in-doubt'; error: TypedError};

/**
 * Starts a gang on several owners, whole or not at all. Holds are taken one
 * after another in the order of group names. A refused hold never waits: all
 * holds are released before the next attempt, so gangs cannot deadlock, and
 * random waits between attempts let one of several contending gangs through.
 */
export class GangReservation {
  private readonly settings: GangSettings;

  private constructor(private readonly parts: Parts) {
    this.settings = GangSettings.parse(parts.settings ?? {});
  }

  static create(parts: Parts): GangReservation {
    return new GangReservation(parts);
  }

  /**
   * Attempts until the gang has started or its deadline has passed.
   * `UncertainError` means that some groups may have started their tasks; the
   * caller must stop the gang.
   */
  async run(
    gang: GangJob,
    signal?: AbortSignal,
  ): Promise<Either<TypedError, PlacedTask[]>> {
    const {clock} = this.parts;
    const mostPlaces = new Map<string, number>();
    let longestWait = this.settings.firstBackoffMilliseconds;
    while (clock.wallNow() < gang.deadline && !signal?.aborted) {
      const plan = planGang(gang, this.parts.offers(), mostPlaces);
      // What was learnt from refusals is forgotten once it leaves no plan.
      if (!plan) mostPlaces.clear();
      const attempt = plan
        ? await this.attempt(gang, plan, mostPlaces)
        : ({type: 'failed'} as const);
      if (attempt.type === 'started') return Right(attempt.placed);
      if (attempt.type === 'in-doubt') return Left(attempt.error);
      await this.wait(gang, longestWait, signal);
      longestWait = Math.min(
        2 * longestWait,
        this.settings.longestBackoffMilliseconds,
      );
    }
    return Left(notStarted(gang, signal));
  }

  private async attempt(
    gang: GangJob,
    plan: Plan,
    mostPlaces: Map<string, number>,
  ): Promise<Attempt> {
    const deadline = this.holdDeadline(gang);
    if (!(await this.holdAll(gang, plan, deadline, mostPlaces))) {
      return {type: 'failed'};
    }
    const margin = this.settings.commitMarginMilliseconds;
    if (deadline - this.parts.clock.wallNow() < margin) {
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
    mostPlaces: Map<string, number>,
  ): Promise<boolean> {
    const {key, service, demand} = gang;
    for (const [taken, {group, count}] of plan.entries()) {
      const answer = await this.parts.client.hold({
        gangKey: key,
        group,
        service,
        demand,
        count,
        deadline,
      });
      if (answer.isRight()) continue;
      mostPlaces.set(group, placesFrom(answer, count));
      // The refused hold is released too, as its answer may have been lost.
      await this.releaseAll(gang, plan.slice(0, taken + 1));
      return false;
    }
    return true;
  }

  private async commitAll(
    gang: GangJob,
    plan: Plan,
  ): Promise<PlacedTask[] | undefined> {
    const {key, attempt} = gang;
    let next = 0;
    const answers = await Promise.all(
      plan.map(({group, count}) => {
        const tasks: TaskIdentity[] = [];
        for (let i = 0; i < count; i++) {
          tasks.push({key, index: next++, attempt});
        }
        const {team, service, declaredRunMilliseconds} = gang;
        const kind = 'gang' as const;
        const info = {team, service, kind, declaredRunMilliseconds};
        return this.parts.client.commit({gangKey: key, group, tasks, info});
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
      plan.map(({group}) => this.parts.client.start(gang.key, group)),
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
      plan.map(({group}) => this.parts.client.release(gang.key, group)),
    );
  }

  private holdDeadline(gang: GangJob): number {
    const {holdMilliseconds, commitMarginMilliseconds} = this.settings;
    const latest = gang.deadline + commitMarginMilliseconds;
    return Math.min(this.parts.clock.wallNow() + holdMilliseconds, latest);
  }

  private async wait(
    gang: GangJob,
    longest: number,
    signal: AbortSignal | undefined,
  ): Promise<void> {
    const {clock, random} = this.parts;
    const wait = 1 + random.fraction() * longest;
    const left = Math.max(0, gang.deadline - clock.wallNow());
    const deadline = clock.monotonicNow() + Math.min(wait, left);
    await clock.sleepUntil(deadline, signal);
  }
}

/** Places that a refusing group says it has; fewer than were asked for. */
function placesFrom(answer: Either<TypedError, void>, count: number): number {
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
