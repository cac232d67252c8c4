import type {
  RunningTask,
  WorkerDescription,
  WorkerLink,
  WorkerLinks,
  WorkerReport,
} from '@cardamomfield/cell-model';
import {
  type PacingPolicy,
  type Run,
  type StallPolicy,
  WorkerState,
} from '@cardamomfield/cell-scheduler';
import {type Clock, Notifier} from '@cardamomfield/clock';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';
import type {OwnerTiming} from './owner_timing.js';
import {confirmStart} from './confirm_start.js';
import {endsSoon} from './ends_soon.js';
import type {FencingSequence} from './fencing_sequence.js';
import {isFromOtherWorker} from './is_from_other_worker.js';
import {isRunOfListedWorker} from './is_run_of_listed_worker.js';
import type {LastPoll} from './last_poll.js';
import type {LeaseCall} from './lease_call.js';
import type {LeaseRecords} from './lease_records.js';
import type {RunEvidence} from './run_evidence.js';
import type {RunTracker} from './run_tracker.js';
import {OrderSlots} from './order_slots.js';
import {RunOrders} from './run_orders.js';
import type {ShardJournal} from './shard_journal.js';
import {WorkerLeases} from './worker_leases.js';

/** How long the worker may hold a poll open until a run ends. */
const POLL_WAIT_MILLISECONDS = 500;

/**
 * Shorter wait for a worker where other runs may slow down latency-sensitive
 * ones, or where a run is being stopped.
 */
const SHORT_POLL_WAIT_MILLISECONDS = 350;

/** Wait for a worker without runs: the longest that is allowed. */
const IDLE_POLL_WAIT_MILLISECONDS = 2_000;

/** Delay after a failed poll. */
const POLL_RETRY_MILLISECONDS = 120;

/** Delay between polls while the ends of runs cannot be recorded. */
const UNRECORDED_ENDS_POLL_DELAY_MILLISECONDS = 300;

/** Delay before the next poll while unknown runs are being stopped. */
const UNKNOWN_RUNS_POLL_DELAY_MILLISECONDS = 250;

/**
 * A worker that the directory has not listed for this long counts as removed
 * and gets no new runs. Entries that expired while the store was unavailable
 * are back within 2 s.
 */
const UNLISTED_MILLISECONDS = 2_500;

/**
 * Maximum number of stops in flight to one worker. Cancelled runs must have ended
 * within seconds, however many of them the worker has.
 */
const MAXIMUM_ACTIVE_STOPS = 12;

/** How long a worker on which a run stalled gets no new runs. */
const STALL_AVOID_MILLISECONDS = 2_000;

interface WorkerSessionOptions {
  description: WorkerDescription;
  links: WorkerLinks;
  journal: ShardJournal;
  runs: RunTracker;
  leaseRecords: LeaseRecords;
  tokens: FencingSequence;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  timing: OwnerTiming;
  pacing: PacingPolicy;
  stalls: StallPolicy;
  /** See `WorkerLeases`. */
  earlierLeasesEndAt: () => number;
  earlierCallsEndAt: number;
  endedLeasesEndAt: number;
  onGrant: (now: number) => void;
  /**
   * Monotonic time until which calls of an ended session with the worker may
   * still be carried out.
   */
  lateCallsEndAt: number;
  onChange: () => void;
}

/**
 * The owner's session with one worker: polls that renew its lease, starts,
 * stops and pacing. Only a worker that has accepted this owner's fencing token
 * gets new runs.
 */
export class WorkerSession {
  readonly worker: WorkerState;
  private link: WorkerLink;
  private readonly leases: WorkerLeases;
  private readonly orders: RunOrders;
  private readonly wakeUp: Notifier;
  private readonly stopSlots = OrderSlots.create(MAXIMUM_ACTIVE_STOPS);
  /** Unknown runs with a stop in flight or waiting, by task and attempt. */
  private readonly unknownStops = new Set<string>();
  /**
   * Start time of the incarnation that answered last; 0 before the first
   * answer.
   */
  private bornAt = 0;
  private processedEnd = 0;
  private acknowledgedEnd = 0;
  private isStopped = false;
  private isReachable = true;
  /** The link that delivered the last report. */
  private reportedLink: WorkerLink | undefined;
  /** Monotonic time since which the directory does not list the worker. */
  private unlistedSince: number | undefined;
  /** Fencing token of all orders to the present incarnation. */
  private fence: number;
  /** Token of the last poll that was answered. */
  private answeredFence = 0;
  private hasUnknownRuns = false;
  /** Unknown runs that the last report listed, by task and attempt. */
  private unknownRuns = new Set<string>();
  /** Monotonic time of the last report, at first of the session's start. */
  private reportedAt: number;
  /** Number of process pauses before the last poll that was answered. */
  private pausesAtReport = 0;
  /** The same with stalls. */
  private interruptionsAtReport = 0;
  private lastPoll: LastPoll = {
    sentAt: -Infinity,
    running: new Set(),
    hasMoreEnds: false,
  };

  private constructor(private readonly options: WorkerSessionOptions) {
    this.reportedAt = options.clock.monotonicNow();
    // Calls of an ended session must not reach a worker that is back.
    const isReopened = options.clock.monotonicNow() < options.lateCallsEndAt;
    this.fence =
      (isReopened ? options.tokens.raise() : undefined) ??
      options.tokens.current;
    this.worker = WorkerState.create(options.description);
    this.link = options.links.open(options.description);
    this.wakeUp = Notifier.create(options.clock);
    this.leases = WorkerLeases.create(options);
    this.orders = RunOrders.create({
      ...options,
      worker: this.worker,
      leases: this.leases,
      link: () => this.link,
      isStopped: () => this.isStopped,
      answeringBornAt: () => this.bornAt,
      isUpToDate: () => this.isUpToDate,
      lastPoll: () => this.lastPoll,
      stopSlots: this.stopSlots,
      fence: () => this.fence,
      onAnswered: run => this.recordConfirmedStart(run),
      onStopped: () => this.wakeUp.notify(),
    });
  }

  static create(options: WorkerSessionOptions): WorkerSession {
    return new WorkerSession(options);
  }

  /**
   * Creates the session of a worker that the directory does not list. The
   * worker gets no new runs until `updateDescription` brings its entry.
   */
  static createUnlisted(options: WorkerSessionOptions): WorkerSession {
    const session = new WorkerSession(options);
    session.unlistedSince = options.clock.monotonicNow();
    session.worker.isListed = false;
    return session;
  }

  /**
   * Applies a new directory entry of the worker. A new address or incarnation
   * needs a new link.
   */
  updateDescription(description: WorkerDescription): void {
    this.unlistedSince = undefined;
    this.worker.isListed = true;
    const earlier = this.worker.description;
    this.worker.description = description;
    if (
      earlier.address !== description.address ||
      earlier.bornAtUnixMilliseconds !== description.bornAtUnixMilliseconds
    ) {
      this.link.close();
      this.link = this.options.links.open(description);
      this.worker.isUsable = false;
      this.acknowledgedEnd = 0;
      this.wakeUp.notify();
    }
    if (earlier.state !== description.state) this.options.onChange();
  }

  /** Polls the worker until the session is stopped. */
  async run(): Promise<void> {
    const {clock, logger} = this.options;
    while (!this.isStopped) {
      try {
        await this.pollOnce();
      } catch (thrown) {
        // Without polls the leases of the worker's runs would not be renewed.
        logger.error('poll of a worker failed unexpectedly', {
          worker: this.worker.id,
          cause: String(thrown),
        });
        this.isReachable = false;
        this.worker.isUsable = false;
        await this.wakeUp.wait(clock.monotonicNow() + POLL_RETRY_MILLISECONDS);
      }
    }
    this.link.close();
  }

  private async pollOnce(): Promise<void> {
    const {clock} = this.options;
    const sentAt = clock.monotonicNow();
    const renewal = this.beginRenewal();
    const report = await this.poll(sentAt, renewal !== undefined);
    if (this.isStopped) return;
    if (!report) {
      renewal?.end(false);
      await this.wakeUp.wait(clock.monotonicNow() + POLL_RETRY_MILLISECONDS);
      return;
    }
    try {
      await this.apply(report, sentAt);
    } finally {
      // Until here the renewal counts as open: the report may show that another
      // incarnation has carried it out.
      renewal?.end(true);
    }
    // A worker answers immediately while it has unacknowledged ends, so these
    // are recorded before the next poll.
    if (this.processedEnd > this.acknowledgedEnd) await this.recordEnds();
  }

  /**
   * Handles the removal of the worker from the directory. Entries also expire
   * while their worker runs on, so the worker keeps its runs, and is excluded
   * from new ones only after a long absence.
   */
  handleRemoval(): void {
    if (this.unlistedSince !== undefined) return;
    const {clock, logger} = this.options;
    this.unlistedSince = clock.monotonicNow();
    logger.info('worker entry removed', {
      worker: this.worker.id,
      runs: this.worker.runs.size,
      ...this.evidence(),
    });
  }

  /** Marks the worker as unlisted once the directory omits it for too long. */
  checkListing(now: number): void {
    if (this.unlistedSince === undefined || !this.worker.isListed) return;
    if (now - this.unlistedSince < UNLISTED_MILLISECONDS) return;
    this.worker.isListed = false;
    this.options.logger.warn(
      'worker missing from the directory; excluded from new runs',
      {
        worker: this.worker.id,
      },
    );
  }

  /** Monotonic time by which all leases of the worker have expired. */
  get leasesEndAt(): number {
    return this.leases.expireAt;
  }

  /** Monotonic time until which calls so far may still be carried out. */
  get lateCallsEndAt(): number {
    return this.leases.lateCallsEndAt;
  }

  /** True when the worker has left and the owner tracks no run on it. */
  get hasEnded(): boolean {
    const isLeaving =
      this.worker.description.state === 'draining' || !this.worker.isListed;
    return isLeaving && !this.isReachable && this.worker.runs.size === 0;
  }

  /**
   * Moves runs off a draining worker: stops services, and runs that can
   * continue from a checkpoint and do not end soon.
   */
  evacuate(now: number): void {
    if (this.worker.description.state !== 'draining') return;
    for (const run of [...this.worker.runs.values()]) {
      if (run.phase !== 'running') continue;
      const {isService, savesCheckpoints} = run.step.specification;
      if (isService || (savesCheckpoints && !endsSoon(run, now))) {
        this.orders.stop(run);
      }
    }
  }

  /** Sends the start of a run whose intent is durable. */
  start(run: Run): Promise<void> {
    return this.orders.start(run);
  }

  /** Stops a run. Its end is recorded when the worker reports it. */
  stopRun(run: Run): void {
    this.orders.stop(run);
  }

  /**
   * What is known about the worker now, for the log; its leases are those on the
   * given run.
   */
  evidence(run?: Run): RunEvidence {
    const now = this.options.clock.monotonicNow();
    const expireAt = run ? this.endOfLeases(run) : this.leases.expireAt;
    return {
      workerState: this.worker.description.state,
      isListed: this.worker.isListed,
      isReachable: this.isReachable,
      silentMilliseconds: Math.round(now - this.reportedAt),
      leaseEndsInMilliseconds: Number.isFinite(expireAt)
        ? Math.round(expireAt - now)
        : undefined,
      workerBornAt: this.bornAt,
    };
  }

  stop(): void {
    this.isStopped = true;
    this.worker.isUsable = false;
    this.wakeUp.notify();
    this.link.close();
  }

  /** False after a process pause until the worker has been polled again. */
  private get isUpToDate(): boolean {
    return this.pausesAtReport === this.options.journal.pauseCount;
  }

  /**
   * False when another incarnation of the worker may answer the next poll:
   * after a failed poll, a pause or stall of this process, or a directory update
   * that shows a restart. A new incarnation numbers its ends from 1 again.
   */
  private get isSameIncarnation(): boolean {
    return (
      this.isReachable &&
      this.interruptionsAtReport === this.options.journal.interruptionCount &&
      this.reportedLink === this.link
    );
  }

  /** True once the present incarnation has accepted the present token. */
  private get isFenced(): boolean {
    return this.answeredFence === this.fence;
  }

  /** The address of the incarnation that answered last; empty if not known. */
  private get currentAddress(): string {
    const {address, bornAtUnixMilliseconds} = this.worker.description;
    return bornAtUnixMilliseconds === this.bornAt ? address : '';
  }

  /** Begins the renewal of the lease by a poll; undefined if it must not. */
  private beginRenewal(): LeaseCall | undefined {
    const {journal, leaseRecords, clock} = this.options;
    const mayRenew =
      this.worker.runs.size > 0 &&
      this.isReachable &&
      this.leases.isClockKnown &&
      journal.leaseLimit > clock.monotonicNow() &&
      leaseRecords.allowsGrant(this.worker.id);
    return mayRenew ? this.leases.beginCall() : undefined;
  }

  private async poll(
    now: number,
    renews: boolean,
  ): Promise<WorkerReport | undefined> {
    const {journal, logger, metrics} = this.options;
    const link = this.link;
    const pausesBefore = journal.pauseCount;
    const interruptionsBefore = journal.interruptionCount;
    const {fence} = this;
    const result = await link.poll({
      leaseEndWorkerMilliseconds: renews ? this.leases.grant(now) : undefined,
      fence,
      acknowledgedEnd: this.isSameIncarnation ? this.acknowledgedEnd : 0,
      waitMilliseconds: this.pollWait(),
    });
    metrics.increment('worker_looks', 1, {
      outcome: result.isRight() ? 'answered' : 'failed',
    });
    if (result.isRight()) {
      if (!this.isReachable) {
        logger.info('worker reachable again', {worker: this.worker.id});
      }
      this.isReachable = true;
      this.reportedLink = link;
      this.answeredFence = fence;
      this.pausesAtReport = pausesBefore;
      this.interruptionsAtReport = interruptionsBefore;
      return result.unsafeCoerce();
    }
    const error = result.extract() as Error;
    if (link === this.link && this.isReachable) {
      this.isReachable = false;
      logger.warn('worker unreachable', {
        worker: this.worker.id,
        cause: error.message,
      });
    }
    this.worker.isUsable = false;
    this.worker.failedPollAt = this.options.clock.monotonicNow();
    if (link === this.link && isFromOtherWorker(error)) this.endReplacedRuns();
    return undefined;
  }

  /**
   * Another worker answers at the address, so the listed incarnation and those
   * before it have ended and their runs with them, whatever their leases say.
   */
  private endReplacedRuns(): void {
    const {description} = this.worker;
    for (const run of [...this.worker.runs.values()]) {
      if (run.phase === 'recording') continue;
      if (!isRunOfListedWorker(run, description)) continue;
      this.options.runs.markLost(run, 'worker replaced');
    }
  }

  private pollWait(): number {
    if (this.bornAt === 0 || this.hasUnknownRuns || !this.isFenced) return 0;
    if (this.worker.runs.size === 0) return IDLE_POLL_WAIT_MILLISECONDS;
    let hasServing = false;
    let hasOthers = false;
    for (const run of this.worker.runs.values()) {
      if (run.phase === 'stopping') return SHORT_POLL_WAIT_MILLISECONDS;
      if (run.step.specification.tailTargetMilliseconds > 0) hasServing = true;
      else hasOthers = true;
    }
    return hasServing && hasOthers
      ? SHORT_POLL_WAIT_MILLISECONDS
      : POLL_WAIT_MILLISECONDS;
  }

  private async apply(report: WorkerReport, sentAt: number): Promise<void> {
    const now = this.options.clock.monotonicNow();
    if (report.bornAtUnixMilliseconds !== this.bornAt) {
      this.resetState(report, sentAt);
    }
    this.reportedAt = now;
    const {leaseRecords} = this.options;
    if (leaseRecords.has(this.worker.id)) leaseRecords.require(this.worker.id);
    if (this.isFenced) this.leases.noteFenced();
    this.worker.mayHoldLongLease = this.leases.mayHoldLongLease(now);
    this.leases.observe(report.clock, now);
    this.lastPoll = {
      sentAt,
      running: new Set(report.running.map(row => row.taskName)),
      hasMoreEnds: report.hasMoreEnds,
    };
    this.applyEnds(report);
    this.syncRunning(report, sentAt, now);
    const isCurrentIncarnation =
      this.worker.description.bornAtUnixMilliseconds === this.bornAt;
    const wasUsable = this.worker.isUsable;
    this.worker.isUsable =
      isCurrentIncarnation && this.isFenced && !this.hasUnknownRuns;
    if (this.worker.isUsable !== wasUsable) this.options.onChange();
    this.endStalledRuns(now);
    for (const change of this.options.pacing.decide(this.worker)) {
      void this.orders.pace(change.run, change.percent);
    }
    if (this.hasUnknownRuns) {
      await this.options.clock.sleepUntil(
        now + UNKNOWN_RUNS_POLL_DELAY_MILLISECONDS,
      );
    }
  }

  /**
   * Resets the session for a new incarnation of the worker. A restarted worker
   * has lost its runs and ends, and its clock starts again.
   */
  private resetState(report: WorkerReport, sentAt: number): void {
    const {runs, logger} = this.options;
    // A run may already have started, and even ended, in the new
    // incarnation.
    const present = new Map(
      [...report.running, ...report.ends].map(row => [
        row.taskName,
        row.attempt,
      ]),
    );
    const isRestart = this.bornAt !== 0;
    const isKnown = [...this.worker.runs.values()].some(
      ({task, isAdopted}) =>
        isAdopted &&
        task.isStartConfirmed &&
        task.workerBornAt === report.bornAtUnixMilliseconds,
    );
    if (!isRestart && isKnown) this.leases.noteKnownIncarnation();
    this.bornAt = report.bornAtUnixMilliseconds;
    this.processedEnd = 0;
    this.acknowledgedEnd = 0;
    if (isRestart) {
      const raised = this.options.tokens.raise();
      this.fence = raised ?? this.fence;
      this.leases.beginIncarnation(raised !== undefined);
      runs.noteWorkerLoss(this.worker.id);
      logger.warn('worker restarted', {
        worker: this.worker.id,
        fence: this.fence,
      });
    }
    for (const run of [...this.worker.runs.values()]) {
      if (run.task.workerBornAt === this.bornAt) continue;
      if (run.phase === 'recording') continue;
      if (present.get(run.task.name) === run.attempt) {
        this.noteIncarnation(run);
      } else if (run.phase === 'running' && startedAfter(run, sentAt)) {
        // The new incarnation may have started it after this report; the next
        // one shows.
        continue;
      } else if (isRestart && isStartInDoubt(run)) {
        // The start order may still reach the new incarnation. Stopping the run
        // there withdraws it first.
        this.orders.withdraw(run);
      } else if (report.hasMoreEnds) {
        // The new incarnation may have run it, and its end be left out of this
        // report. The last report of its ends decides.
        continue;
      } else {
        runs.markLost(run, 'worker restarted');
      }
    }
  }

  private applyEnds(report: WorkerReport): void {
    for (const end of report.ends) {
      if (end.number <= this.processedEnd) continue;
      this.processedEnd = end.number;
      const run = this.worker.runs.get(end.taskName);
      if (run && run.attempt === end.attempt) this.options.runs.end(run, end);
    }
  }

  private syncRunning(report: WorkerReport, sentAt: number, now: number): void {
    const listed = new Set<string>();
    const unknown = new Set<string>();
    for (const row of report.running) {
      const run = this.worker.runs.get(row.taskName);
      if (run && run.attempt === row.attempt) {
        listed.add(row.taskName);
        this.noteIncarnation(run);
        this.updateRun(run, row, now);
        // A run adopted from an earlier owner may belong to a submission that
        // ended before its worker was polled.
        if (run.step.submission.ending) this.orders.stop(run);
      } else {
        unknown.add(`${row.taskName} ${row.attempt}`);
        this.logUnknownRun(row);
        void this.stopUnknownRun(row);
      }
    }
    this.unknownRuns = unknown;
    this.hasUnknownRuns = unknown.size > 0;
    // The end of a run that is not listed may be among those left out.
    if (report.hasMoreEnds) return;
    for (const run of [...this.worker.runs.values()]) {
      if (listed.has(run.task.name) || run.phase === 'recording') continue;
      if (run.phase === 'running' && !startedAfter(run, sentAt)) {
        this.options.runs.markLost(run, 'not listed by its worker');
      }
    }
  }

  private async stopUnknownRun({
    taskName,
    attempt,
  }: RunningTask): Promise<void> {
    const key = `${taskName} ${attempt}`;
    if (this.unknownStops.has(key)) return;
    this.unknownStops.add(key);
    await this.stopSlots.run(async () => {
      if (!this.isStopped) await this.link.stop(taskName, attempt, this.fence);
    });
    this.unknownStops.delete(key);
  }

  /** Records that the answering incarnation holds a run. */
  private noteIncarnation(run: Run): void {
    if (run.task.workerBornAt === this.bornAt) return;
    run.task.workerBornAt = this.bornAt;
    run.task.isStartConfirmed = false;
    run.task.workerAddress = this.currentAddress;
    // The next owner may know the worker from the records alone.
    this.options.runs.markTask(run.step, run.task);
  }

  /** Logs a run that the worker lists and the owner does not track, once. */
  private logUnknownRun({taskName, attempt}: RunningTask): void {
    if (this.unknownRuns.has(`${taskName} ${attempt}`)) return;
    this.options.logger.warn('worker runs an unknown run', {
      task: taskName,
      attempt,
      worker: this.worker.id,
    });
  }

  private updateRun(run: Run, row: RunningTask, now: number): void {
    if (run.phase === 'ordering') confirmStart(run, now);
    this.recordConfirmedStart(run);
    if (row.progressPercent !== run.progressPercent) run.progressedAt = now;
    run.progressPercent = row.progressPercent;
    run.load = row.load;
    if (row.checkpoint === '' || row.checkpoint === run.task.checkpoint) return;
    run.checkpointedAt = now;
    const {step, task} = run;
    const recipients = step.specification.isGang ? step.tasks : [task];
    for (const member of recipients) member.checkpoint = row.checkpoint;
  }

  /**
   * Records for the next owner that a lasting task's run can no longer be started
   * anew by a late order, and that its worker holds no lease that the next owner
   * would not expect.
   */
  private recordConfirmedStart(run: Run): void {
    if (!run.step.specification.isService || !run.isStartAnswered) return;
    if (this.leases.mayHoldOtherLease(this.options.clock.monotonicNow())) {
      return;
    }
    this.options.runs.confirm(run);
  }

  private async recordEnds(): Promise<void> {
    const {journal, clock} = this.options;
    const processed = this.processedEnd;
    const incarnationBornAt = this.bornAt;
    const delay = clock.sleepUntil(
      clock.monotonicNow() + UNRECORDED_ENDS_POLL_DELAY_MILLISECONDS,
    );
    const commit = journal.commit().then(result => {
      // A worker that has restarted since then numbers its ends from 1 again.
      if (result.isRight() && incarnationBornAt === this.bornAt) {
        this.acknowledgedEnd = Math.max(this.acknowledgedEnd, processed);
      }
    });
    await Promise.race([commit, delay]);
  }

  private endStalledRuns(now: number): void {
    for (const run of [...this.worker.runs.values()]) {
      if (!this.options.stalls.isStalled(run, now)) continue;
      this.options.logger.warn('run stalled', {
        task: run.task.name,
        attempt: run.attempt,
        worker: this.worker.id,
        progressPercent: run.progressPercent,
        standstillMilliseconds: Math.round(now - run.progressedAt),
      });
      run.task.lastFailedWorkerId = this.worker.id;
      this.worker.avoidUntil = now + STALL_AVOID_MILLISECONDS;
      this.orders.stop(run);
    }
  }

  /** Monotonic time by which a run has ended if the worker stays unreachable. */
  private endOfLeases(run: Run): number {
    const {expireAt, adoptedExpireAt} = this.leases;
    return run.isAdopted && run.notLostBefore === -Infinity
      ? adoptedExpireAt
      : Math.max(expireAt, run.notLostBefore);
  }

  /**
   * Updates the time at which the runs of an unreachable worker end, and marks
   * them lost once it has passed.
   */
  checkLeases(now: number): void {
    this.worker.mayHoldLongLease = this.leases.mayHoldLongLease(now);
    this.worker.runsEndAt = Infinity;
    if (this.isReachable) return;
    for (const run of [...this.worker.runs.values()]) {
      const endAt = this.endOfLeases(run);
      if (now > endAt && run.phase !== 'recording') {
        this.options.runs.markLost(run, 'lease expired');
      } else {
        this.worker.runsEndAt = Math.min(this.worker.runsEndAt, endAt);
      }
    }
  }
}

/** True if the start was answered after the time at which a poll was sent. */
function startedAfter(run: Run, sentAt: number): boolean {
  return run.runningSince === undefined || run.runningSince >= sentAt;
}

/**
 * True while a start order may still reach the worker: it is in flight, a try of
 * it got no answer, or a stop withdraws it.
 */
function isStartInDoubt(run: Run): boolean {
  if (run.phase === 'ordering' || run.hasUnansweredStart) return true;
  return run.phase === 'stopping' && run.runningSince === undefined;
}
