import type {
  CallerIdentity,
  Decision,
  DesiredState,
  Queue,
  ShardLog,
  ShardRecord,
  SubmissionSpecification,
  SubmissionState,
  WorkerDescription,
  WorkerDirectory,
  WorkerLinks,
} from '@cardamomfield/cell-model';
import {
  type EndedSubmission,
  NearPlacePolicy,
  ObjectiveOrder,
  PacingPolicy,
  PlacementExplainer,
  type PlacementExplanation,
  type PlacementQuestion,
  PriorityOrder,
  RecordCodec,
  type Run,
  Scheduler,
  type SchedulingPass,
  ShardState,
  StallPolicy,
  type StepState,
  SubmissionLimits,
  SubmissionRecord,
  TeamDirectory,
  TeamLimits,
  WorkerChoice,
  WorkerPerformance,
} from '@cardamomfield/cell-scheduler';
import {type Clock, Notifier} from '@cardamomfield/clock';
import {
  InvalidInputError,
  NotFoundError,
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';
import {type Either, Left, Right} from 'purify-ts';
import {Admission} from './admission.js';
import type {AdviceChannel} from './advice_channel.js';
import {AdviceDispatcher} from './advice_dispatcher.js';
import {CallerCheck} from './caller_check.js';
import type {OwnerLimits} from './owner_limits.js';
import {NearPlaceReport} from './near_place_report.js';
import type {OwnerPolicies} from './owner_policies.js';
import type {OwnerTiming} from './owner_timing.js';
import {EarlierLeases} from './earlier_leases.js';
import {EndedRuns} from './ended_runs.js';
import type {EndedSession} from './ended_session.js';
import {FencingSequence} from './fencing_sequence.js';
import type {FormerOwners} from './former_owners.js';
import {JudgementReport} from './judgement_report.js';
import {LeaseRecords} from './lease_records.js';
import {LimitLog} from './limit_log.js';
import {RepeatedFailures} from './repeated_failures.js';
import {RunTracker} from './run_tracker.js';
import type {PlacementAnswer} from './placement_answer.js';
import type {ShardClaim} from './shard_claim.js';
import {ShardJournal} from './shard_journal.js';
import {StartQueue} from './start_queue.js';
import {SubmissionGate} from './submission_gate.js';
import {WorkerClock} from './worker_clock.js';
import {WorkerSession} from './worker_session.js';

/** The scheduler runs at least this often, to handle timed work and drains. */
const TICK_MILLISECONDS = 200;

/** Longest retry delay that callers are given during an outage of the log. */
const MAXIMUM_RETRY_AFTER_MILLISECONDS = 4_000;

/** Retry delay for callers while the owner's memory is in use. */
const FULL_RETRY_AFTER_MILLISECONDS = 2_000;

/** Changes within this time are handled in one scheduling pass. */
const COALESCE_MILLISECONDS = 4;

/** The delay before the next pass is this multiple of a pass's duration. */
const PASS_DELAY_FACTOR = 4;

/** Longest delay between two passes while changes are pending. */
const MAXIMUM_PASS_DELAY_MILLISECONDS = 100;

/**
 * Shortest interval between two checks of all sessions for draining workers,
 * missing directory entries, expired leases and sessions that have ended.
 */
const SESSION_CHECK_MILLISECONDS = 50;

/** A scheduling pass that takes this long is logged. */
const SLOW_PASS_MILLISECONDS = 50;

/** Shortest interval between two log lines about slow passes. */
const SLOW_PASS_LOG_MILLISECONDS = 500;

/**
 * Time for the directory's first list. Workers that it lists are polled with
 * their full descriptions, which name the zone of the relay to use.
 */
const FIRST_LIST_MILLISECONDS = 1_500;

/**
 * How long after a proof of the epoch an owner of an earlier version granted
 * leases.
 */
const EARLIER_PROOF_VALID_MILLISECONDS = 3_000;

/** Safety margin added to the time at which earlier owners' leases expire. */
const TAKEOVER_MARGIN_MILLISECONDS = 1_000;

/** Callers accept counts of 2 s; hosts cache them for 800 ms of it. */
const COUNT_AGE_MILLISECONDS = 1_200;

/**
 * Maximum number of recorded cancellations of unknown IDs. Callers choose the
 * IDs, so the records that they cause need a bound: 2,000 take about 200 kB in
 * the log and four calls at a takeover. Above it, such a cancellation is
 * answered after a proof of the epoch only.
 */
const MAXIMUM_UNSUBMITTED = 2_000;

/** Records over this share of their limit leave out checkpoints. */
const CHECKPOINT_SHARE = 0.9;

interface ShardOwnerOptions {
  claim: ShardClaim;
  log: ShardLog;
  links: WorkerLinks;
  directory: WorkerDirectory;
  adviceChannels: () => AdviceChannel[];
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  timing: OwnerTiming;
  limits: OwnerLimits;
  policies: OwnerPolicies;
  /** The newest desired state; undefined before the first. */
  desiredState: () => DesiredState | undefined;
  formerOwners: FormerOwners;
  /** A uniform number from 0 (included) to 1 (excluded). */
  random: () => number;
  onLost: () => void;
}

/**
 * The owner of one shard: accepts submissions, decides where tasks run, and
 * sends orders to workers. It stops when the log refuses its epoch because
 * another host has claimed a higher one.
 */
export class ShardOwner {
  private readonly state = ShardState.create();
  private readonly submissionLimits: SubmissionLimits;
  private readonly journal: ShardJournal;
  private readonly performance = WorkerPerformance.create(this.state.workers);
  private readonly judgementReport: JudgementReport;
  private readonly nearPlaceReport: NearPlaceReport;
  private readonly explainer: PlacementExplainer;
  private readonly runTracker: RunTracker;
  private readonly scheduler: Scheduler;
  private readonly teamLimits: TeamLimits;
  private readonly limitLog: LimitLog;
  private readonly adviceDispatcher: AdviceDispatcher;
  private readonly gate: SubmissionGate;
  private readonly startQueue: StartQueue;
  private readonly tokens: FencingSequence;
  private readonly callerCheck: CallerCheck;
  private readonly sessions = new Map<string, WorkerSession>();
  /** Submissions whose record is not durable yet. */
  private readonly admissions = new Map<string, Admission>();
  /**
   * Ended sessions by worker, as long as their leases and calls matter. A lease
   * never shortens, and a call may be carried out late.
   */
  private readonly endedSessions = new Map<string, EndedSession>();
  /** Restored runs by worker, until the worker has a session. */
  private readonly orphanedRuns = new Map<string, Run[]>();
  private readonly endedRuns: EndedRuns;
  private readonly wakeUp: Notifier;
  private readonly stopping = new AbortController();
  /**
   * Monotonic time by which the leases have ended that a call of any earlier
   * owner may have granted, also if it was carried out by another incarnation.
   */
  private readonly earlierCallsEndAt: number;
  private readonly earlierLeases: EarlierLeases;
  private readonly leaseRecords: LeaseRecords;
  /** Monotonic time of the last grant of a lease. */
  private grantedAt = -Infinity;
  /** Monotonic time from which workers without an entry are polled too. */
  private readonly unlistedSessionsAt: number;
  private hasChanged = true;
  private passDelayMilliseconds = COALESCE_MILLISECONDS;
  /** Monotonic time of the next check of all sessions. */
  private sessionCheckAt = 0;
  /** Monotonic time of the next end of a lease that makes runs count as lost. */
  private nextLeaseEndAt = Infinity;
  /** Monotonic time of the next end of a wait for a near place. */
  private nextNearPlaceDeadline = Infinity;
  /** Monotonic time before which no slow pass is logged. */
  private slowPassLogAt = 0;

  private constructor(private readonly options: ShardOwnerOptions) {
    const {claim, clock, logger, metrics} = options;
    this.wakeUp = Notifier.create(clock);
    this.submissionLimits = SubmissionLimits.create(options.limits);
    this.tokens = FencingSequence.create(claim.owner.epoch);
    this.callerCheck = CallerCheck.create(options.desiredState);
    this.journal = ShardJournal.create({
      log: options.log,
      clock,
      logger,
      metrics,
      epoch: claim.owner.epoch,
      nextSequence: claim.nextSequence,
      provedAt: claim.provedAt,
      encode: key => this.encode(key),
      limits: options.limits,
      replace: key => this.giveUp(key),
      onLost: () => this.handleLoss(),
    });
    this.leaseRecords = LeaseRecords.create({
      epoch: claim.owner.epoch,
      records: claim.records,
      mark: key => this.journal.mark(key),
      commit: async () => (await this.journal.commit()).isRight(),
    });
    this.earlierCallsEndAt = earlierCallsEndAt(options);
    this.earlierLeases = EarlierLeases.create({
      epoch: claim.owner.epoch,
      formerOwners: options.formerOwners,
      records: this.leaseRecords,
      timing: options.timing,
      unboundedLeasesEndAt: this.unboundedLeasesEndAt(),
    });
    const onChange = () => this.noteChange();
    this.judgementReport = JudgementReport.create({logger, metrics});
    this.nearPlaceReport = NearPlaceReport.create({logger, metrics});
    this.runTracker = RunTracker.create({
      state: this.state,
      journal: this.journal,
      leaseRecords: this.leaseRecords,
      performance: this.performance,
      repeatedFailures: options.policies.judgesWorkers
        ? undefined
        : RepeatedFailures.create(this.state.workers, logger),
      clock,
      logger,
      metrics,
      evidenceOf: run => this.sessions.get(run.workerId)?.evidence(run),
      onStop: run => this.stopRun(run),
      onDone: run => {
        this.gate.noteDone(run);
        this.nearPlaceReport.noteDone(
          run,
          this.state.workers.get(run.workerId),
          clock.monotonicNow(),
        );
      },
      onChange,
    });
    this.startQueue = StartQueue.create({
      start: run => this.startRun(run),
      onRoom: onChange,
    });
    this.adviceDispatcher = AdviceDispatcher.create({
      channels: options.adviceChannels,
      workers: this.state.workers,
      clock,
      logger,
      metrics,
      onChange,
    });
    const teams = TeamDirectory.create(options.desiredState);
    this.teamLimits = TeamLimits.create(this.state.teamUsage, teams);
    this.limitLog = LimitLog.create(clock, logger, metrics);
    this.gate = SubmissionGate.create({
      state: this.state,
      adviceWait: milliseconds =>
        this.adviceDispatcher.waitMilliseconds(milliseconds),
      policies: options.policies,
      desiredState: options.desiredState,
      clock,
      logger,
      metrics,
      random: options.random,
    });
    const {farPlacePenalty} = options.policies;
    const choice = WorkerChoice.create(farPlacePenalty);
    this.scheduler = Scheduler.create(
      this.state,
      options.policies.ordersByObjective
        ? ObjectiveOrder.create()
        : PriorityOrder.create(),
      choice,
      this.adviceDispatcher,
      teams,
      NearPlacePolicy.create({
        farPlacePenalty,
        choice,
        performance: this.performance,
      }),
    );
    this.explainer = PlacementExplainer.create({
      state: this.state,
      choice,
      limits: this.teamLimits,
      performance: this.performance,
      farPlacePenalty,
    });
    this.unlistedSessionsAt = clock.monotonicNow() + FIRST_LIST_MILLISECONDS;
    this.restore();
    this.endedRuns = EndedRuns.restore(this.state, id =>
      this.journal.mark(RecordCodec.endingKey(id)),
    );
  }

  static create(options: ShardOwnerOptions): ShardOwner {
    return new ShardOwner(options);
  }

  get epoch(): number {
    return this.options.claim.owner.epoch;
  }

  /** True once it has been stopped; it grants no lease from then on. */
  get isStopped(): boolean {
    return this.stopping.signal.aborted;
  }

  /** Monotonic time of the last grant of a lease; -Infinity if there is none. */
  get lastGrantAt(): number {
    return this.grantedAt;
  }

  /** True while the shard's log accepts no appends. */
  isLogDown(): boolean {
    return this.journal.isLogDown();
  }

  /** Runs until the shard is lost or `stop` is called. */
  async run(): Promise<void> {
    await Promise.all([
      this.journal.run(),
      this.followWorkers(),
      this.scheduleLoop(),
    ]);
  }

  stop(): void {
    if (this.stopping.signal.aborted) return;
    this.stopping.abort();
    this.journal.stop();
    for (const session of this.sessions.values()) session.stop();
    this.wakeUp.notify();
  }

  /**
   * Accepts a submission once it is durable. The call is idempotent by ID: a
   * submission that was accepted stays so under every later owner, so the answer
   * to a repeated call needs no proof of the epoch.
   * `InvalidInputError` means that the submission is too large for this owner.
   * `OverloadedError` and `UnavailableError` mean that the submission was not
   * recorded and will never run. `CancelledError` means that the shard was lost
   * while the submission was being recorded. `UnauthenticatedError` and
   * `ForbiddenError` are those of `CallerCheck`; the call had no effect.
   */
  async submit(
    id: string,
    queue: Queue,
    specification: SubmissionSpecification,
    caller?: CallerIdentity,
  ): Promise<Either<TypedError, {decision: Decision}>> {
    const authorized = this.authorize(id, caller, queue.name);
    if (authorized.isLeft()) return authorized as Either<TypedError, never>;
    const team = authorized.unsafeCoerce();
    if (this.state.ended.has(id)) return this.submitEnded(id, team);
    if (this.state.submissions.get(id)?.isAccepted) {
      return Right({decision: this.decision('record')});
    }
    if (this.state.unreadable.has(id)) {
      return Left(UncertainError.create(unreadableMessage(id)));
    }
    const pending = this.admissions.get(id);
    if (pending) return this.decideOn(pending.outcome);
    const checked = this.submissionLimits.check(queue, specification, team);
    if (checked.isLeft()) return checked as Either<TypedError, never>;
    const limited = this.teamLimits.check(team, specification);
    if (limited.isLeft()) return limited as Either<TypedError, never>;
    if (this.journal.isLogDown()) return Left(this.logDownError());
    const now = this.options.clock.wallNow();
    const submission = SubmissionRecord.create(
      id,
      queue,
      specification,
      now,
      this.submissionLimits.memoryBytes,
      team,
    );
    if (!this.hasMemoryFor(submission)) return Left(fullError());
    // A record whose commit failed may still be in the log.
    if (!this.state.submissions.has(id)) {
      const admitted = this.gate.admit(submission);
      if (admitted.isLeft()) return admitted as Either<TypedError, never>;
    }
    this.state.add(submission);
    this.journal.mark(RecordCodec.submissionKey(id));
    this.noteChange();
    const admission = Admission.create(submission, this.journal.commit());
    this.admissions.set(id, admission);
    const outcome = await admission.outcome;
    this.admissions.delete(id);
    if (outcome.isLeft()) return outcome as Either<TypedError, never>;
    submission.isAccepted = true;
    this.options.metrics.increment('submissions_accepted');
    this.options.logger.info('submission accepted', {
      submission: id,
      queue: queue.name,
      epoch: this.epoch,
      steps: specification.steps.map(step => step.taskCount),
    });
    return Right({decision: this.decision('record')});
  }

  /**
   * Accepts a repeated submission that has ended, or one whose ID was cancelled
   * before; its tasks never run. The answer waits for the record of the ending,
   * which no later owner changes, so it needs no proof of the epoch.
   */
  private submitEnded(
    id: string,
    team: string,
  ): Promise<Either<TypedError, {decision: Decision}>> {
    const ended = this.state.ended.get(id);
    if (ended?.isUnsubmitted) {
      this.options.logger.info('submission accepted after its cancellation', {
        submission: id,
        epoch: this.epoch,
      });
      void this.recordEnding(id, {
        ...ended,
        isUnsubmitted: undefined,
        team: team || undefined,
      });
    }
    return this.decideOn(this.journal.commit());
  }

  /** The state of a submission in memory; undefined if it is unknown. */
  describe(id: string): SubmissionState | undefined {
    return this.state.describe(id);
  }

  /**
   * The state of a submission, or `NotFoundError`. No later owner had changed it
   * when this method was called: a durable ending stays as it is, and any other
   * answer waits for a proof of the epoch. Without one there is no answer about
   * the submission: `CancelledError` means that the shard was lost, and
   * `UnavailableError` that the log takes no appends.
   */
  async show(
    id: string,
    caller?: CallerIdentity,
  ): Promise<Either<TypedError, {state: SubmissionState; decision: Decision}>> {
    const authorized = this.authorize(id, caller);
    if (authorized.isLeft()) return authorized as Either<TypedError, never>;
    const ending = this.state.durableEnding(id);
    if (ending) {
      return Right({state: ending, decision: this.decision('record')});
    }
    if (this.state.unreadable.has(id)) {
      return Left(UnavailableError.create(unreadableMessage(id)));
    }
    if (this.journal.isLogDown()) return Left(this.logDownError());
    // A submission that is being recorded is known once that has succeeded.
    await this.admissions.get(id)?.outcome;
    const proved = await this.journal.prove();
    if (proved.isLeft()) return proved as Either<TypedError, never>;
    while (this.state.isEndingPending(id)) {
      const committed = await this.journal.commit();
      if (committed.isLeft()) return committed as Either<TypedError, never>;
    }
    // A submission that arrived meanwhile may be another team's.
    const stillAuthorized = this.authorize(id, caller);
    if (stillAuthorized.isLeft()) {
      return stillAuthorized as Either<TypedError, never>;
    }
    const state = this.describe(id);
    const decision = this.decision('proof');
    if (!state) return Left(unknownSubmission(id, decision));
    return Right({state, decision});
  }

  /**
   * Cancels a submission permanently. The answer waits for the record of the
   * ending, which no later owner changes, so it needs no proof of the epoch.
   * `NotFoundError` means that the submission is unknown, by a record or a proof
   * after the request; the cancellation is recorded all the same, so that a
   * submission with this ID that is still on its way never runs.
   */
  async cancel(
    id: string,
    caller?: CallerIdentity,
  ): Promise<Either<TypedError, {decision: Decision}>> {
    const authorized = this.authorize(id, caller);
    if (authorized.isLeft()) return authorized as Either<TypedError, never>;
    const submission = this.state.submissions.get(id);
    const ended = this.state.ended.get(id);
    if (submission) this.runTracker.endSubmission(submission, 'cancelled');
    else if (!ended && this.state.unreadable.has(id)) this.endUnreadable(id);
    else if (!ended || ended.isUnsubmitted) return this.cancelUnknown(id);
    return this.decideOn(this.journal.commit());
  }

  private async cancelUnknown(id: string): Promise<Either<TypedError, never>> {
    if (this.journal.isLogDown()) return Left(this.logDownError());
    const isRecorded =
      !this.state.ended.has(id) &&
      this.state.unsubmittedCount < MAXIMUM_UNSUBMITTED;
    if (isRecorded) {
      this.options.logger.info('unknown submission cancelled', {
        submission: id,
        epoch: this.epoch,
      });
      void this.recordEnding(id, {
        ending: 'cancelled',
        endedAtUnixMilliseconds: this.options.clock.wallNow(),
        isUnsubmitted: true,
      });
    } else if (!this.state.ended.has(id)) {
      this.options.metrics.increment('unsubmitted_cancellations_unrecorded');
    }
    const outcome = isRecorded
      ? await this.journal.commit()
      : await this.journal.prove();
    if (outcome.isLeft()) return outcome as Either<TypedError, never>;
    const decision = this.decision(isRecorded ? 'record' : 'proof');
    return Left(unknownSubmission(id, decision));
  }

  /** Ends a submission that only another version can read, if it has not ended. */
  private endUnreadable(id: string): void {
    if (this.state.unreadable.get(id) === 'ending') return;
    this.state.unreadable.delete(id);
    this.journal.mark(RecordCodec.submissionKey(id));
    void this.recordEnding(id, {
      ending: 'cancelled',
      endedAtUnixMilliseconds: this.options.clock.wallNow(),
    });
  }

  /** Stores an ending, which callers see once it is durable. */
  private async recordEnding(
    id: string,
    ended: EndedSubmission,
  ): Promise<void> {
    this.state.setEnded(id, ended);
    this.journal.mark(RecordCodec.endingKey(id));
    const committed = await this.journal.commit();
    if (committed.isRight()) this.state.confirmEnded(id, ended);
  }

  private async decideOn(
    recorded: Promise<Either<TypedError, void>>,
  ): Promise<Either<TypedError, {decision: Decision}>> {
    const outcome = await recorded;
    return outcome.map(() => ({decision: this.decision('record')}));
  }

  private decision(basis: Decision['basis']): Decision {
    const {owner} = this.options.claim;
    return {
      hostName: owner.hostName,
      epoch: owner.epoch,
      basis,
      proofAgeMilliseconds: Math.round(this.journal.proofAgeMilliseconds),
    };
  }

  /**
   * Number of accepted submissions of a queue with no task started yet. It is at
   * most `COUNT_AGE_MILLISECONDS` old, also if this host has lost the shard.
   */
  async countPending(
    queueName: string,
    caller?: CallerIdentity,
  ): Promise<
    Either<TypedError, {count: number; desiredStateVersion?: number}>
  > {
    const authorized = this.noteRefusal(
      this.callerCheck.check(caller, {queueName}),
    );
    if (authorized.isLeft()) return authorized as Either<TypedError, never>;
    if (this.journal.proofAgeMilliseconds > COUNT_AGE_MILLISECONDS) {
      if (this.journal.isLogDown()) return Left(this.logDownError());
      const proved = await this.journal.prove();
      if (proved.isLeft()) return proved as Either<TypedError, never>;
    }
    return Right({
      count: this.state.countPending(queueName),
      desiredStateVersion: this.options.desiredState()?.version,
    });
  }

  /**
   * Explains where tasks would be placed now. It changes nothing and needs no
   * proof of the epoch; the answer states its age.
   */
  explain(question: PlacementQuestion): Either<TypedError, PlacementAnswer> {
    const {owner} = this.options.claim;
    return this.explanationOf(question).map(explanation => ({
      hostName: owner.hostName,
      epoch: owner.epoch,
      ageMilliseconds: Math.round(this.journal.proofAgeMilliseconds),
      explanation,
    }));
  }

  private explanationOf(
    question: PlacementQuestion,
  ): Either<TypedError, PlacementExplanation> {
    const {clock, desiredState} = this.options;
    const times = {
      now: clock.monotonicNow(),
      nowUnixMilliseconds: clock.wallNow(),
    };
    if ('id' in question) {
      const {id} = question;
      const explanation = this.explainer.explainSubmission(id, times);
      return explanation
        ? Right(explanation)
        : Left(NotFoundError.create(`no submission has the ID ${id}`));
    }
    const {queueName, team, specification} = question;
    const state = desiredState();
    if (!state) return Left(UnavailableError.create('no desired state yet'));
    const queue = state.queues.find(({name}) => name === queueName);
    if (!queue) {
      return Left(InvalidInputError.create(`no queue is named ${queueName}`));
    }
    if (team !== '' && !state.teams?.some(({name}) => name === team)) {
      return Left(InvalidInputError.create(`no team is named ${team}`));
    }
    return this.submissionLimits
      .check(queue, specification, team)
      .chain(() => this.teamLimits.check(team, specification))
      .chain(() => {
        const submission = SubmissionRecord.create(
          '',
          queue,
          specification,
          times.nowUnixMilliseconds,
          undefined,
          team,
        );
        return this.hasMemoryFor(submission)
          ? Right(this.explainer.explainRequest(submission, times))
          : Left(fullError());
      });
  }

  private hasMemoryFor({team, memoryBytes}: SubmissionRecord): boolean {
    return this.state.memory.hasRoom(
      {team, bytes: memoryBytes},
      this.submissionLimits.memoryBytes,
      this.options.desiredState()?.teams !== undefined,
    );
  }

  /** Checks a call about one ID, and returns the caller's team. */
  private authorize(
    id: string,
    caller: CallerIdentity | undefined,
    queueName?: string,
  ): Either<TypedError, string> {
    const submission = this.state.submissions.get(id);
    const team = submission?.team ?? this.state.ended.get(id)?.team;
    const submissionQueue = submission?.queue.name;
    return this.noteRefusal(
      this.callerCheck.check(caller, {
        queueName: queueName ?? submissionQueue,
        submission: {team, queueName: submissionQueue},
      }),
    );
  }

  private noteRefusal(
    authorized: Either<TypedError, string>,
  ): Either<TypedError, string> {
    return authorized.ifLeft(({code}) =>
      this.options.metrics.increment('callers_refused_by_owner', 1, {code}),
    );
  }

  /** Age of the last proof that this host owns the shard. */
  get proofAgeMilliseconds(): number {
    return this.journal.proofAgeMilliseconds;
  }

  /**
   * While the log is down, refuses submissions whose records have not been sent
   * to it. None of their runs was ordered, because a start is ordered only once
   * its intent is durable.
   */
  private refuseUnsent(): void {
    for (const [id, admission] of this.admissions) {
      // The mark of one that has ended is for the removal of its record.
      if (admission.submission.ending) continue;
      const key = RecordCodec.submissionKey(id);
      if (!this.journal.withdraw(key)) continue;
      this.withdraw(admission);
      admission.refuse(this.logDownError());
    }
  }

  /**
   * Ends the submission of a record that the log cannot take, so that the log
   * keeps taking the others. Returns the record of that ending.
   */
  private giveUp(key: string): ShardRecord {
    const {id = '', kind} = RecordCodec.parseKey(key) ?? {};
    const admission = this.admissions.get(id);
    const submission = this.state.submissions.get(id);
    this.options.logger.error('submission cannot be recorded', {
      submission: id,
      key,
      isAccepted: submission?.isAccepted ?? false,
    });
    if (admission && kind === 'submission') {
      this.withdraw(admission);
      admission.refuse(
        InvalidInputError.create('the submission is too large to be recorded'),
      );
    } else if (submission) {
      this.runTracker.endSubmission(submission, 'failed');
    }
    const ended = this.state.ended.get(id);
    if (!ended) return {key, value: ''};
    const value = RecordCodec.encodeEnding(ended);
    return {key: RecordCodec.endingKey(id), value};
  }

  /** Drops a submission whose caller learns that it never runs. */
  private withdraw({submission}: Admission): void {
    this.admissions.delete(submission.id);
    for (const step of submission.occurrences.flat()) {
      this.runTracker.stopRuns(step);
    }
    this.state.remove(submission);
    this.options.metrics.increment('submissions_withdrawn');
    this.options.logger.info('submission withdrawn', {
      submission: submission.id,
    });
  }

  private logDownError(): TypedError {
    return UnavailableError.create('the shard log takes no appends', {
      retryAfterMilliseconds: this.retryAfterMilliseconds(),
    });
  }

  /** Assumes that an outage lasts twice as long as it has lasted so far. */
  private retryAfterMilliseconds(): number {
    return Math.min(
      MAXIMUM_RETRY_AFTER_MILLISECONDS,
      Math.round(this.journal.logDownMilliseconds),
    );
  }

  private noteChange(): void {
    this.hasChanged = true;
    this.wakeUp.notify();
  }

  private handleLoss(): void {
    this.stop();
    this.options.onLost();
  }

  private async followWorkers(): Promise<void> {
    await this.options.directory.follow(
      (id, worker) => this.syncWorker(id, worker),
      this.stopping.signal,
    );
  }

  private syncWorker(id: string, worker: WorkerDescription | undefined): void {
    if (this.stopping.signal.aborted) return;
    const session = this.sessions.get(id);
    if (!worker) {
      session?.handleRemoval();
      return;
    }
    if (session) {
      session.updateDescription(worker);
      return;
    }
    this.open(WorkerSession.create(this.sessionOptions(worker)));
  }

  private sessionOptions(
    description: WorkerDescription,
  ): Parameters<typeof WorkerSession.create>[0] {
    const {links, clock, logger, metrics, timing} = this.options;
    const ended = this.endedSessions.get(description.id);
    return {
      description,
      links,
      journal: this.journal,
      runs: this.runTracker,
      tokens: this.tokens,
      clock,
      logger,
      metrics,
      timing,
      pacing: PacingPolicy.create(),
      stalls: StallPolicy.create(),
      leaseRecords: this.leaseRecords,
      earlierLeasesEndAt: () => this.earlierLeases.endAt(description.id),
      earlierCallsEndAt: this.earlierCallsEndOn(description.id),
      endedLeasesEndAt: ended?.leasesEndAt ?? -Infinity,
      onGrant: now => {
        this.grantedAt = Math.max(this.grantedAt, now);
      },
      lateCallsEndAt: ended?.lateCallsEndAt ?? -Infinity,
      onChange: () => this.noteChange(),
    };
  }

  private open(session: WorkerSession): void {
    const {worker} = session;
    this.sessions.set(worker.id, session);
    this.state.workers.set(worker.id, worker);
    for (const run of this.orphanedRuns.get(worker.id) ?? []) worker.add(run);
    this.orphanedRuns.delete(worker.id);
    void session.run();
  }

  /**
   * Polls the workers of restored runs that the directory has not listed: one
   * that still runs keeps its runs, and an answer of another worker proves that
   * its runs have ended.
   */
  private openUnlistedSessions(): void {
    for (const [id, runs] of [...this.orphanedRuns]) {
      const description = describeUnlisted(id, runs);
      if (!description) continue;
      this.options.logger.warn('worker of restored runs is not listed', {
        worker: id,
        address: description.address,
        runs: runs.length,
      });
      const options = this.sessionOptions(description);
      this.open(WorkerSession.createUnlisted(options));
    }
  }

  private async scheduleLoop(): Promise<void> {
    const {clock} = this.options;
    while (!this.stopping.signal.aborted) {
      if (!this.hasChanged) {
        const tickAt = clock.monotonicNow() + TICK_MILLISECONDS;
        await this.wakeUp.wait(
          Math.min(tickAt, this.nextLeaseEndAt, this.nextNearPlaceDeadline),
        );
      }
      await clock.sleepUntil(clock.monotonicNow() + this.passDelayMilliseconds);
      if (this.stopping.signal.aborted) return;
      this.hasChanged = false;
      const startedAt = clock.monotonicNow();
      if (startedAt >= this.sessionCheckAt) this.tick(startedAt);
      const checkedAt = clock.monotonicNow();
      const pass = this.schedule();
      const endedAt = clock.monotonicNow();
      const spent = endedAt - startedAt;
      this.options.metrics.timing('pass_milliseconds', spent);
      if (spent >= SLOW_PASS_MILLISECONDS && endedAt >= this.slowPassLogAt) {
        this.slowPassLogAt = endedAt + SLOW_PASS_LOG_MILLISECONDS;
        this.logSlowPass(pass, checkedAt - startedAt, endedAt - checkedAt);
      }
      this.passDelayMilliseconds = Math.min(
        MAXIMUM_PASS_DELAY_MILLISECONDS,
        Math.max(COALESCE_MILLISECONDS, spent * PASS_DELAY_FACTOR),
      );
    }
  }

  private tick(now: number): void {
    const {clock} = this.options;
    this.sessionCheckAt = now + SESSION_CHECK_MILLISECONDS;
    this.nextLeaseEndAt = Infinity;
    for (const [id, session] of this.sessions) {
      session.checkListing(now);
      session.checkLeases(now);
      const {runs, runsEndAt} = session.worker;
      if (runs.size > 0 && runsEndAt < this.nextLeaseEndAt) {
        // A lease has ended once its last millisecond has passed.
        this.nextLeaseEndAt = runsEndAt + 1;
      }
      session.evacuate(now);
      if (session.hasEnded) {
        this.options.logger.info('worker session ended', {
          worker: id,
          ...session.evidence(),
        });
        session.stop();
        const {leasesEndAt, lateCallsEndAt} = session;
        this.endedSessions.set(id, {leasesEndAt, lateCallsEndAt});
        this.sessions.delete(id);
        this.state.workers.delete(id);
        this.leaseRecords.remove(id);
      }
    }
    for (const [id, ended] of this.endedSessions) {
      const endsAt = Math.max(ended.leasesEndAt, ended.lateCallsEndAt);
      if (endsAt < now) this.endedSessions.delete(id);
    }
    if (now >= this.unlistedSessionsAt) this.openUnlistedSessions();
    this.checkEarlierLeases(now);
    this.endedRuns.check(id => this.hasNoEarlierRuns(id, now));
    if (this.journal.isLogDown()) this.refuseUnsent();
    this.evictEnded(clock.wallNow());
  }

  /** Marks restored runs lost whose workers have no session and no lease. */
  private checkEarlierLeases(now: number): void {
    const {leasesBoundedSince} = this.options.claim.owner;
    if (now > this.earlierCallsEndAt && leasesBoundedSince !== undefined) {
      this.leaseRecords.noteEndedBefore(leasesBoundedSince);
    }
    for (const [workerId, runs] of [...this.orphanedRuns]) {
      const endAt = this.earlierLeases.endAt(workerId);
      const remaining = runs.filter(
        run => now <= Math.max(endAt, run.notLostBefore),
      );
      for (const run of runs) {
        if (remaining.includes(run)) continue;
        this.runTracker.markLost(run, 'lease expired');
      }
      if (remaining.length > 0) this.orphanedRuns.set(workerId, remaining);
      else this.orphanedRuns.delete(workerId);
    }
  }

  /**
   * Whether a worker can run nothing that this owner does not track: it follows
   * this owner's token and lists no other run, or all leases have ended that it
   * may hold.
   */
  private hasNoEarlierRuns(workerId: string, now: number): boolean {
    const session = this.sessions.get(workerId);
    if (session?.worker.isUsable) return true;
    return (
      now >
      Math.max(
        this.earlierLeases.endAt(workerId),
        this.earlierCallsEndOn(workerId),
        session?.leasesEndAt ?? -Infinity,
        this.endedSessions.get(workerId)?.leasesEndAt ?? -Infinity,
      )
    );
  }

  /**
   * The same as `earlierCallsEndAt` for one worker: owners after the last one
   * that its record names have sent it no start and granted it no lease.
   */
  private earlierCallsEndOn(workerId: string): number {
    const {formerOwners, timing} = this.options;
    const epoch = this.leaseRecords.lastGrantingEpoch(workerId);
    if (epoch === undefined) return this.earlierCallsEndAt;
    const replacedAt = formerOwners.replacedAt(epoch);
    return Math.min(
      this.earlierCallsEndAt,
      Math.max(
        this.earlierLeases.unboundedEndAt,
        replacedAt + longestWaitMilliseconds(timing),
      ),
    );
  }

  /**
   * Monotonic time by which the leases of owners have ended that may not keep to
   * `LeaseTerms`.
   */
  private unboundedLeasesEndAt(): number {
    const {claim, formerOwners} = this.options;
    const {epoch, leasesBoundedSince = epoch} = claim.owner;
    if (this.leaseRecords.haveEndedBefore(leasesBoundedSince)) return -Infinity;
    if (leasesBoundedSince === epoch) return this.earlierCallsEndAt;
    const replacedAt = formerOwners.replacedAt(leasesBoundedSince - 1);
    return Math.min(
      this.earlierCallsEndAt,
      replacedAt + longestWaitMilliseconds(this.options.timing),
    );
  }

  private logSlowPass(
    pass: SchedulingPass | undefined,
    checkMilliseconds: number,
    scheduleMilliseconds: number,
  ): void {
    this.options.logger.warn('scheduling pass was slow', {
      epoch: this.epoch,
      checkMilliseconds: Math.round(checkMilliseconds),
      scheduleMilliseconds: Math.round(scheduleMilliseconds),
      submissions: this.state.submissions.size,
      workers: this.state.workers.size,
      placed: pass?.placements.length ?? 0,
      queries: pass?.adviceQueries.length ?? 0,
      preempted: pass?.preemptions.length ?? 0,
    });
  }

  /** Runs one pass; undefined while the owner may not decide. */
  private schedule(): SchedulingPass | undefined {
    this.nextNearPlaceDeadline = Infinity;
    if (!this.journal.hasAuthority() || this.journal.isLogDown()) return;
    const {clock} = this.options;
    const runs: Run[] = [];
    const now = clock.monotonicNow();
    if (this.options.policies.judgesWorkers) {
      this.performance.refresh(now);
      this.judgementReport.update(this.state.workers.values(), now);
    }
    const pass = this.scheduler.pass(
      now,
      clock.wallNow(),
      this.startQueue.room,
      placement => runs.push(this.runTracker.begin(placement)),
    );
    this.startQueue.open(runs.length);
    for (const {step, cause} of pass.faults) {
      this.options.metrics.increment('steps_set_aside');
      this.options.logger.error('step set aside after an unexpected error', {
        step: step.name,
        cause: String(cause),
      });
    }
    this.limitLog.note(pass.limitHolds);
    this.noteNearPlaces(pass, now);
    this.adviceDispatcher.send(pass.adviceQueries);
    this.options.metrics.increment('runs_preempted', pass.preemptions.length);
    for (const run of pass.preemptions) {
      this.options.logger.info('run preempted', {
        task: run.task.name,
        attempt: run.attempt,
        worker: run.workerId,
        progressPercent: run.progressPercent,
      });
      this.stopRun(run);
    }
    if (runs.length > 0) void this.startAll(runs);
    return pass;
  }

  private noteNearPlaces(pass: SchedulingPass, now: number): void {
    const {nearPlaceEvents, nextNearPlaceDeadline} = pass;
    this.nextNearPlaceDeadline = nextNearPlaceDeadline;
    this.nearPlaceReport.note(nearPlaceEvents, now);
    for (const {step} of nearPlaceEvents) {
      // The first record of a step has the deadline; a placement need not wait.
      const [key] = RecordCodec.progressKeys(step);
      if (key !== undefined) this.journal.mark(key);
    }
  }

  /** Sends the start orders of runs once their intents are durable. */
  private async startAll(runs: Run[]): Promise<void> {
    const committed = await this.journal.commit();
    if (committed.isLeft() || this.stopping.signal.aborted) return;
    this.startQueue.send(runs);
  }

  private async startRun(run: Run): Promise<void> {
    if (this.stopping.signal.aborted) return;
    if (run.phase === 'recording' && !this.teamLimits.mayStart(run)) {
      this.runTracker.markLost(run, 'limit lowered before the start was sent');
      return;
    }
    await this.sessions.get(run.workerId)?.start(run);
  }

  private stopRun(run: Run): void {
    this.sessions.get(run.workerId)?.stopRun(run);
  }

  private restore(): void {
    const {claim, logger} = this.options;
    const restored = this.state.restore(claim.records, this.submissionLimits);
    for (const key of restored.unreadable) {
      logger.error('record unreadable', {key});
    }
    for (const id of restored.outdated) this.rewrite(id);
    for (const id of restored.oversized) this.endOversized(id);
    for (const key of restored.obsolete) this.journal.mark(key);
    let placed = 0;
    for (const submission of this.state.submissions.values()) {
      for (const step of submission.occurrences.flat()) {
        for (const task of step.tasks) {
          if (task.phase !== 'placed') continue;
          const run = this.runTracker.adopt(
            step,
            task,
            this.earlierCallsEndOn(task.workerId),
          );
          const others = this.orphanedRuns.get(task.workerId) ?? [];
          this.orphanedRuns.set(task.workerId, [...others, run]);
          placed++;
        }
      }
    }
    logger.info('shard restored', {
      epoch: this.epoch,
      submissions: this.state.submissions.size,
      ended: this.state.ended.size,
      placed,
    });
  }

  /**
   * Records a large submission of an earlier version in the present form. The
   * submission follows its ranges, since it makes them valid.
   */
  private rewrite(id: string): void {
    const submission = this.state.submissions.get(id);
    for (const step of submission?.occurrences.flat() ?? []) {
      for (const key of RecordCodec.progressKeys(step)) this.journal.mark(key);
    }
    this.journal.mark(RecordCodec.submissionKey(id));
  }

  /** Ends a submission that an earlier version accepted without a limit. */
  private endOversized(id: string): void {
    this.options.logger.error('submission too large; ended as failed', {
      submission: id,
    });
    this.journal.mark(RecordCodec.submissionKey(id));
    void this.recordEnding(id, {
      ending: 'failed',
      endedAtUnixMilliseconds: this.options.clock.wallNow(),
    });
  }

  private evictEnded(nowUnixMilliseconds: number): void {
    const {keepEndedMilliseconds} = this.options.timing;
    for (const [id, {endedAtUnixMilliseconds}] of this.state.ended) {
      if (
        nowUnixMilliseconds <
        endedAtUnixMilliseconds + keepEndedMilliseconds
      ) {
        return;
      }
      this.state.evictEnded(id);
      this.journal.mark(RecordCodec.endingKey(id));
    }
  }

  private encode(key: string): string {
    if (LeaseRecords.isKey(key)) return this.leaseRecords.encode(key);
    const name = RecordCodec.parseKey(key);
    if (!name) return '';
    if (name.kind === 'ending') {
      const ended = this.state.ended.get(name.id);
      return ended ? RecordCodec.encodeEnding(ended) : '';
    }
    const submission = this.state.submissions.get(name.id);
    if (!submission) return '';
    if (name.kind === 'submission') {
      return RecordCodec.encodeSubmission(submission);
    }
    if ((name.kind === 'range') !== submission.isLarge) return '';
    const step = submission.stepsOf(name.occurrence)[name.step];
    return step ? this.encodeProgress(key, step, name.range) : '';
  }

  /**
   * Leaves the checkpoints out of a record that would be too large with them:
   * their tasks start anew if the next owner finds them ended.
   */
  private encodeProgress(key: string, step: StepState, range: number): string {
    const value = RecordCodec.encodeProgress(step, range);
    const bytes = Buffer.byteLength(key) + Buffer.byteLength(value);
    if (bytes < this.options.limits.recordBytes * CHECKPOINT_SHARE) {
      return value;
    }
    this.options.logger.warn('checkpoints left out of a record', {key, bytes});
    return RecordCodec.encodeProgress(step, range, false);
  }
}

function fullError(): TypedError {
  return UnavailableError.create('the memory for submissions is in use', {
    retryAfterMilliseconds: FULL_RETRY_AFTER_MILLISECONDS,
  });
}

/** Longest time from a claim until all leases before it have ended. */
function longestWaitMilliseconds(timing: OwnerTiming): number {
  return (
    EARLIER_PROOF_VALID_MILLISECONDS +
    timing.maximumLeaseMilliseconds / WorkerClock.slowestRate +
    timing.stopMilliseconds +
    TAKEOVER_MARGIN_MILLISECONDS
  );
}

function earlierCallsEndAt(options: ShardOwnerOptions): number {
  const {claim, clock, timing} = options;
  const longestMilliseconds = longestWaitMilliseconds(timing);
  // A log without work shows that no lease is left only if it keeps the endings
  // of submissions for longer than leases last.
  const showsLeases = timing.keepEndedMilliseconds > longestMilliseconds;
  if (claim.isEmpty && showsLeases) return 0;
  return clock.monotonicNow() + longestMilliseconds;
}

/**
 * Describes a worker by the newest of its incarnations that holds one of the
 * runs. Without a service and capacity it is never chosen for new runs.
 * Undefined when that incarnation's address is not known.
 */
function describeUnlisted(
  id: string,
  runs: readonly Run[],
): WorkerDescription | undefined {
  const newest = runs
    .map(({task}) => task)
    .reduce((a, b) => (b.workerBornAt > a.workerBornAt ? b : a));
  if (newest.workerAddress === '') return undefined;
  return {
    id,
    service: '',
    address: newest.workerAddress,
    availabilityZone: '',
    state: 'ready',
    milliCores: 0,
    memoryMegabytes: 0,
    accelerators: 0,
    labels: [],
    bornAtUnixMilliseconds: newest.workerBornAt,
  };
}

function unreadableMessage(id: string): string {
  return `the record of submission ${id} cannot be read by this version`;
}

function unknownSubmission(id: string, decision: Decision): TypedError {
  return NotFoundError.create(`submission ${id} does not exist`, {decision});
}
