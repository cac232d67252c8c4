import type {
  DesiredState,
  Queue,
  SubmissionSpecification,
  Team,
} from '@cardamomfield/cell-model';
import {
  CellBacklog,
  ContractMeter,
  LoadPolicy,
  type LoadRefusal,
  RefusalBound,
  type Run,
  type ShardState,
  WorkRate,
  workOfTask,
} from '@cardamomfield/cell-scheduler';
import type {Clock} from '@cardamomfield/clock';
import {OverloadedError} from '@cardamomfield/errors';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';
import {type Either, Left, Right} from 'purify-ts';
import type {OwnerPolicies} from './owner_policies.js';

/** A survey of the backlog is used for at least this long. */
const SURVEY_MILLISECONDS = 250;

/** A survey is used for this multiple of its duration, if that is longer. */
const SURVEY_COST_FACTOR = 50;

/** Time with usable workers after which the measured rate counts. */
const RATE_MILLISECONDS = 2_000;

/** Largest share added to a retry delay, so that callers come back apart. */
const RETRY_JITTER = 0.25;

/** Bounds of the delay after which a refused caller should retry. */
const SHORTEST_RETRY_MILLISECONDS = 1_000;
const LONGEST_RETRY_MILLISECONDS = 8_000;

/** Shortest interval between two log lines about refusals of one reason. */
const LOG_MILLISECONDS = 1_000;

interface SubmissionGateOptions {
  state: ShardState;
  /** Wait for the advice service with unsent queries of a time in sum. */
  adviceWait: (unsentMilliseconds: number) => number;
  policies: OwnerPolicies;
  desiredState: () => DesiredState | undefined;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** A uniform number from 0 (included) to 1 (excluded). */
  random: () => number;
}

/** What the gate needs to know of a submission. */
interface NewSubmission {
  id: string;
  queue: Queue;
  specification: SubmissionSpecification;
  team: string;
}

interface Survey {
  backlog: CellBacklog;
  /** Monotonic time until which it is used. */
  usedUntil: number;
}

/** Admits new submissions or refuses them by the owner's present load. */
export class SubmissionGate {
  private readonly policy = LoadPolicy.create();
  private readonly contracts = ContractMeter.create();
  private readonly bound = RefusalBound.create();
  /** Rates of ended work by service and priority. */
  private readonly rates = new Map<string, Map<number, WorkRate>>();
  private readonly startedAt: number;
  private survey: Survey | undefined;
  /** Monotonic time from which the measured rate counts. */
  private rateCountsFrom = Infinity;
  private teams: ReadonlyMap<string, Team> = new Map();
  private teamsOf: DesiredState | undefined;
  /** Monotonic time of the last log line, by reason. */
  private readonly loggedAt = new Map<string, number>();
  /** Refusals since the last log line, by reason. */
  private readonly omitted = new Map<string, number>();

  private constructor(private readonly options: SubmissionGateOptions) {
    this.startedAt = options.clock.monotonicNow();
  }

  static create(options: SubmissionGateOptions): SubmissionGate {
    return new SubmissionGate(options);
  }

  /** Decides on a submission with an unknown ID, and counts it if admitted. */
  admit(submission: NewSubmission): Either<OverloadedError, void> {
    const {id, queue, specification, team} = submission;
    if (!this.options.policies.refusesUnderLoad) return Right(undefined);
    const now = this.options.clock.monotonicNow();
    this.updateTeams();
    const backlog = this.surveyAt(now);
    const refusal =
      this.refuseByAdvice(submission, backlog) ??
      this.refuseByLoad(submission, backlog, now);
    if (refusal && this.mayRefuse(id, refusal, now)) {
      return Left(this.refuse(submission, refusal, now));
    }
    this.bound.accept(id, now);
    backlog.addAccepted(queue, specification, team);
    if (team !== '') this.contracts.record(team, this.weightOf(team), now);
    return Right(undefined);
  }

  /** Measures a run that completed its task or its whole gang. */
  noteDone(run: Run): void {
    if (!this.options.policies.refusesUnderLoad) return;
    const {specification, submission, tasks} = run.step;
    const {service, priority} = submission.queue;
    const now = this.options.clock.monotonicNow();
    const rates = this.rates.get(service) ?? new Map<number, WorkRate>();
    this.rates.set(service, rates);
    const rate = rates.get(priority) ?? WorkRate.create(this.startedAt);
    rates.set(priority, rate);
    const taskCount = specification.isGang ? tasks.length : 1;
    rate.record(workOfTask(specification) * taskCount, now);
  }

  /** The share of contracted work that is refused by the backlog is bounded. */
  private mayRefuse(id: string, {reason}: LoadRefusal, now: number): boolean {
    if (reason !== 'backlog' || this.bound.refuse(id, now)) return true;
    this.options.metrics.increment('submissions_accepted_late');
    return false;
  }

  private refuseByAdvice(
    {queue, specification}: NewSubmission,
    backlog: CellBacklog,
  ): LoadRefusal | undefined {
    if (!queue.advice) return undefined;
    const ahead = backlog.adviceAhead(queue.priority);
    const wait = this.options.adviceWait(ahead);
    return this.policy.decideOnAdvice({queue, specification}, wait);
  }

  private refuseByLoad(
    {queue, specification, team}: NewSubmission,
    backlog: CellBacklog,
    now: number,
  ): LoadRefusal | undefined {
    if (now < this.rateCountsFrom) return undefined;
    let rateMilliCores = 0;
    let urgentRateMilliCores = 0;
    for (const [priority, rate] of this.rates.get(queue.service) ?? []) {
      const milliCores = rate.milliCores(now);
      rateMilliCores += milliCores;
      if (priority < queue.priority) urgentRateMilliCores += milliCores;
    }
    const isExcess =
      team !== '' && this.contracts.isExcess(team, this.weightOf(team), now);
    return this.policy.decide(
      {queue, specification, team, isExcess},
      {
        backlog: backlog.serviceOf(queue.service),
        rateMilliCores,
        urgentRateMilliCores,
        weightOf: name => this.weightOf(name),
      },
    );
  }

  /** The backlog as of a survey that is recent enough. */
  private surveyAt(now: number): CellBacklog {
    if (this.survey && now < this.survey.usedUntil) return this.survey.backlog;
    const {clock, policies, state} = this.options;
    const backlog = CellBacklog.survey(state, {
      now,
      nowUnixMilliseconds: clock.wallNow(),
      limitOf: team => this.teams.get(team)?.limit,
      servesUsefulFirst: policies.ordersByObjective,
    });
    const endedAt = clock.monotonicNow();
    const usedUntil =
      endedAt +
      Math.max(SURVEY_MILLISECONDS, (endedAt - now) * SURVEY_COST_FACTOR);
    this.survey = {backlog, usedUntil};
    if (this.rateCountsFrom === Infinity && backlog.hasUsableCapacity) {
      this.rateCountsFrom = now + RATE_MILLISECONDS;
    }
    return backlog;
  }

  private updateTeams(): void {
    const desiredState = this.options.desiredState();
    if (desiredState === this.teamsOf) return;
    this.teamsOf = desiredState;
    this.teams = new Map(
      desiredState?.teams?.map(team => [team.name, team] as const),
    );
  }

  /** 1 for a team that the desired state does not name or gives no weight. */
  private weightOf(team: string): number {
    const weight = this.teams.get(team)?.weight ?? 0;
    return weight > 0 ? weight : 1;
  }

  private refuse(
    submission: NewSubmission,
    {reason, waitMilliseconds, drainMilliseconds}: LoadRefusal,
    now: number,
  ): OverloadedError {
    const {logger, metrics, random} = this.options;
    const retryAfterMilliseconds = retryDelay(drainMilliseconds, random());
    metrics.increment('submissions_refused', 1, {reason});
    const omittedLines = this.omitted.get(reason) ?? 0;
    if (now < (this.loggedAt.get(reason) ?? -Infinity) + LOG_MILLISECONDS) {
      this.omitted.set(reason, omittedLines + 1);
    } else {
      this.loggedAt.set(reason, now);
      this.omitted.set(reason, 0);
      logger.warn('submission refused under load', {
        submission: submission.id,
        queue: submission.queue.name,
        team: submission.team,
        reason,
        waitMilliseconds: Math.round(waitMilliseconds),
        retryAfterMilliseconds,
        omittedLines,
      });
    }
    return OverloadedError.create(MESSAGES[reason], {
      reason,
      retryAfterMilliseconds,
    });
  }
}

const MESSAGES: Readonly<Record<LoadRefusal['reason'], string>> = {
  advice: 'the advice service cannot serve the submission in time',
  excess: 'the cell is full and the team is beyond its contract',
  backlog: 'the backlog is too long to end the submission in time',
};

/** Jitter is added below the upper bound, where it would be cut off. */
function retryDelay(drainMilliseconds: number, fraction: number): number {
  const longest = LONGEST_RETRY_MILLISECONDS / (1 + RETRY_JITTER);
  const delay = Math.min(longest, drainMilliseconds);
  return Math.round(
    Math.max(
      SHORTEST_RETRY_MILLISECONDS,
      delay * (1 + fraction * RETRY_JITTER),
    ),
  );
}
