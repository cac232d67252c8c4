import type {
  StartOutcome,
  WorkerDescription,
  WorkerLink,
} from '@cardamomfield/cell-model';
import type {Run, WorkerState} from '@cardamomfield/cell-scheduler';
import type {Clock} from '@cardamomfield/clock';
import type {TypedError} from '@cardamomfield/errors';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';
import type {Either} from 'purify-ts';
import {confirmStart} from './confirm_start.js';
import {isFromOtherWorker} from './is_from_other_worker.js';
import {isRunOfListedWorker} from './is_run_of_listed_worker.js';
import type {LastPoll} from './last_poll.js';
import type {OrderSlots} from './order_slots.js';
import type {OwnerTiming} from './owner_timing.js';
import type {RunTracker} from './run_tracker.js';
import type {ShardJournal} from './shard_journal.js';
import type {WorkerLeases} from './worker_leases.js';

/** Attempts of an unanswered start before a stop withdraws it. */
const START_TRIES = 3;

/** Workers tell their clocks in whole milliseconds. */
const CLOCK_STEP_MILLISECONDS = 1;

/** Delay between attempts of a stop, and between checks of its effect. */
const STOP_RETRY_MILLISECONDS = 250;

/** How long a worker that refuses a start gets no new runs. */
const REFUSAL_AVOID_MILLISECONDS = 1_000;

/** Delay before a task is placed again after a refused start. */
const REFUSED_RETRY_DELAY_MILLISECONDS = 100;

interface RunOrdersOptions {
  worker: WorkerState;
  leases: WorkerLeases;
  journal: ShardJournal;
  runs: RunTracker;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  timing: OwnerTiming;
  /** The link to the incarnation of the worker that the directory lists. */
  link: () => WorkerLink;
  isStopped: () => boolean;
  /** Start of the incarnation that answered last, in Unix milliseconds. */
  answeringBornAt: () => number;
  /** False after a process pause until the worker has been polled again. */
  isUpToDate: () => boolean;
  lastPoll: () => LastPoll;
  /** Limits the stops in flight to the worker. */
  stopSlots: OrderSlots;
  /** Fencing token of the present incarnation's orders. */
  fence: () => number;
  /** Called when a start has been answered, or has failed without an answer. */
  onAnswered: (run: Run) => void;
  /** Called when the worker has answered a stop. */
  onStopped: () => void;
}

/** An answered or failed stop, and the worker as listed when it was sent. */
interface SentStop {
  result: Either<TypedError, void>;
  description: WorkerDescription;
}

/** Sends orders to one worker: starts, stops and pacing. */
export class RunOrders {
  /** The stop of each run that began last. */
  private readonly stops = new WeakMap<Run, symbol>();

  private constructor(private readonly options: RunOrdersOptions) {}

  static create(options: RunOrdersOptions): RunOrders {
    return new RunOrders(options);
  }

  /** Sends the start of a run whose intent is durable. */
  async start(run: Run): Promise<void> {
    if (run.phase !== 'recording') return;
    run.phase = 'ordering';
    const {journal, runs, leases, clock} = this.options;
    for (let attempt = 0; attempt < START_TRIES; attempt++) {
      const mayOrder =
        journal.hasAuthority() &&
        leases.isClockKnown &&
        this.options.isUpToDate() &&
        this.isForPresentWorker(run);
      if (!mayOrder && attempt === 0) {
        runs.markLost(
          run,
          'epoch or worker state not confirmed',
          REFUSED_RETRY_DELAY_MILLISECONDS,
        );
        return;
      }
      if (!mayOrder) break;
      if (attempt === 0 && !this.renewTicket(run)) {
        runs.markLost(run, 'ticket expired before the start was sent');
        return;
      }
      const outcome = await this.sendStart(run);
      if (outcome.kind === 'uncertain') run.hasUnansweredStart = true;
      run.isStartAnswered =
        outcome.kind === 'started' && !run.hasUnansweredStart;
      this.options.onAnswered(run);
      // The phase may have changed while the call was in flight.
      if (
        (run.phase as Run['phase']) !== 'ordering' ||
        this.options.isStopped()
      ) {
        return;
      }
      if (outcome.kind === 'started') {
        confirmStart(run, clock.monotonicNow());
        return;
      }
      if (outcome.kind === 'refused') {
        this.handleRefusal(run, outcome.reason);
        if (attempt > 0) break;
        runs.markLost(run, outcome.reason, REFUSED_RETRY_DELAY_MILLISECONDS);
        return;
      }
    }
    // An earlier attempt may have started the run without an answer. The stop
    // resolves the doubt.
    this.stop(run);
  }

  /**
   * True while the incarnation that the intent names is the listed one and the
   * one that answers. Another one may have less capacity or other labels, and
   * the next owner looks for the run where the intent says.
   */
  private isForPresentWorker({task}: Run): boolean {
    const {address, bornAtUnixMilliseconds} = this.options.worker.description;
    return (
      task.workerAddress === address &&
      task.workerBornAt === bornAtUnixMilliseconds &&
      task.workerBornAt === this.options.answeringBornAt()
    );
  }

  /** Stops a run. Its end is recorded when the worker reports it. */
  stop(run: Run): void {
    if (run.phase === 'stopping') return;
    const wasRecording = run.phase === 'recording';
    run.phase = 'stopping';
    // No start order was sent yet, so the worker has nothing to stop.
    if (wasRecording) this.options.runs.markLost(run, 'withdrawn');
    else this.beginStop(run);
  }

  /**
   * Stops a run in a new incarnation of the worker, which may still receive its
   * start. Answers of the former incarnation no longer count.
   */
  withdraw(run: Run): void {
    run.phase = 'stopping';
    this.beginStop(run);
  }

  private beginStop(run: Run): void {
    const order = Symbol(run.task.name);
    this.stops.set(run, order);
    void this.sendStops(run, () => this.isStopping(run, order));
  }

  /** True until the run has ended or another stop of it has begun. */
  private isStopping(run: Run, order: symbol): boolean {
    return (
      !this.options.isStopped() &&
      this.stops.get(run) === order &&
      this.options.worker.runs.get(run.task.name) === run
    );
  }

  private async sendStops(run: Run, isStopping: () => boolean): Promise<void> {
    const {clock, runs, stopSlots} = this.options;
    while (isStopping()) {
      const sent = await stopSlots.run(() => this.sendStop(run, isStopping));
      const answeredAt = clock.monotonicNow();
      if (!sent || !isStopping()) return;
      const {result, description} = sent;
      if (result.isRight()) {
        this.options.onStopped();
        await clock.sleepUntil(
          answeredAt + this.options.timing.stopMilliseconds,
        );
        await this.confirmStopped(run, answeredAt, isStopping);
        return;
      }
      if (
        isFromOtherWorker(result.extract()) &&
        isRunOfListedWorker(run, description)
      ) {
        runs.markLost(run, 'worker replaced');
        return;
      }
      await clock.sleepUntil(answeredAt + STOP_RETRY_MILLISECONDS);
    }
  }

  /** Sends one stop, unless the run has ended while it waited to be sent. */
  private async sendStop(
    run: Run,
    isStopping: () => boolean,
  ): Promise<SentStop | undefined> {
    if (!isStopping()) return undefined;
    const {link, fence, worker} = this.options;
    const {description} = worker;
    const result = await link().stop(run.task.name, run.attempt, fence());
    return {result, description};
  }

  /**
   * Waits until the run's end is recorded or a poll sent after the answered
   * stop does not list the run, which means that it does not exist any more.
   */
  private async confirmStopped(
    run: Run,
    stoppedAt: number,
    isStopping: () => boolean,
  ): Promise<void> {
    const {clock, runs, lastPoll} = this.options;
    while (isStopping()) {
      const {sentAt, running, hasMoreEnds} = lastPoll();
      if (sentAt > stoppedAt && !hasMoreEnds && !running.has(run.task.name)) {
        runs.markLost(run, 'stopped');
        return;
      }
      await clock.sleepUntil(clock.monotonicNow() + STOP_RETRY_MILLISECONDS);
    }
  }

  private async sendStart(run: Run): Promise<StartOutcome> {
    const {clock, journal, leases, logger, metrics} = this.options;
    const sentAt = clock.monotonicNow();
    const clockAtSending = leases.clockAt(sentAt);
    const call = leases.beginCall();
    const outcome = await this.options.link().start({
      taskName: run.task.name,
      attempt: run.attempt,
      payload: run.step.submission.specification.payload,
      leaseEndWorkerMilliseconds: leases.grant(sentAt),
      fence: this.options.fence(),
      checkpoint: run.task.checkpoint,
      ticket: run.ticket,
    });
    // Without a clock nothing tells which incarnation has answered.
    call.end(outcome.kind !== 'uncertain' && outcome.clock !== undefined);
    if (
      outcome.kind !== 'uncertain' &&
      outcome.clock !== undefined &&
      outcome.clock < clockAtSending - CLOCK_STEP_MILLISECONDS
    ) {
      leases.coverOtherClock();
    }
    const kind = outcome.kind === 'refused' ? outcome.reason : outcome.kind;
    const milliseconds = clock.monotonicNow() - sentAt;
    metrics.timing('start_order_milliseconds', milliseconds, {outcome: kind});
    logger.info('start ordered', {
      task: run.task.name,
      attempt: run.attempt,
      worker: this.options.worker.id,
      epoch: journal.epoch,
      outcome: kind,
      milliseconds: Math.round(milliseconds),
    });
    return outcome;
  }

  /** Limits a run to a percentage of its full speed. */
  async pace(run: Run, percent: number): Promise<void> {
    run.pacePercent = percent;
    const {logger} = this.options;
    const result = await this.options
      .link()
      .pace(run.task.name, run.attempt, percent, this.options.fence());
    logger.info('run paced', {
      task: run.task.name,
      worker: this.options.worker.id,
      percent,
      isApplied: result.isRight(),
    });
    // The call may or may not have been applied. A value other than `percent`
    // makes the pacing policy decide again after the next poll.
    if (result.isLeft()) run.pacePercent = percent === 100 ? 99 : 100;
  }

  /**
   * Gives a run the last ticket of its worker, because the log may have taken
   * long to record the intent. Returns false when that ticket has expired too.
   */
  private renewTicket(run: Run): boolean {
    if (run.ticket === '') return true;
    const {worker, clock} = this.options;
    const ticket = run.step.advice.ticketFor(worker, clock.monotonicNow());
    if (ticket === undefined) return false;
    run.ticket = ticket;
    return true;
  }

  private handleRefusal(run: Run, reason: string): void {
    const {clock} = this.options;
    if (reason === 'ticket-expired') {
      run.step.advice.expire(run.workerId, run.ticket);
    }
    if (reason === 'unhealthy' || reason === 'no-room') {
      this.options.worker.avoidUntil =
        clock.monotonicNow() + REFUSAL_AVOID_MILLISECONDS;
    }
  }
}
