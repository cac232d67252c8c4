import type {StartOutcome, WorkerLink} from '@cardamomfield/cell-model';
import type {Run, WorkerState} from '@cardamomfield/cell-scheduler';
import type {Clock} from '@cardamomfield/clock';
import {RefusedError} from '@cardamomfield/errors';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';
import {confirmStart} from './confirm_start.js';
import type {LastLook} from './last_look.js';
import type {OwnerTiming} from './owner_timing.js';
import type {RunBook} from './run_book.js';
import type {ShardJournal} from './shard_journal.js';
import type {WorkerLeases} from './worker_leases.js';

/** A start without an answer is repeated this often before it is withdrawn. */
const START_TRIES = 3;

/** Pause between tries of a stop that was not answered. */
const STOP_RETRY_MILLISECONDS = 250;

/** A worker that refuses starts is avoided for this long. */
const UNHEALTHY_PAUSE_MILLISECONDS = 1_000;

/** Pause before a task is offered again after a refused start. */
const REFUSED_PAUSE_MILLISECONDS = 100;

interface RunOrdersOptions {
  worker: WorkerState;
  leases: WorkerLeases;
  journal: ShardJournal;
  book: RunBook;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  timing: OwnerTiming;
  /** The link to the life of the worker that the directory shows. */
  link: () => WorkerLink;
  isStopped: () => boolean;
  /** False after a freeze until the worker was looked at again. */
  isUpToDate: () => boolean;
  lastLook: () => LastLook;
  /** Called when the worker has answered a stop. */
  onStopped: () => void;
}

/** Orders to one worker: starts, stops and changes of speed. */
export class RunOrders {
  private constructor(private readonly options: RunOrdersOptions) {}

  static create(options: RunOrdersOptions): RunOrders {
    return new RunOrders(options);
  }

  /** Sends the start of a run whose intent is durable. */
  async start(run: Run): Promise<void> {
    if (run.phase !== 'recording') return;
    run.phase = 'ordering';
    const {journal, book, leases, clock} = this.options;
    for (let attempt = 0; attempt < START_TRIES; attempt++) {
      const mayOrder =
        journal.hasAuthority() &&
        leases.isClockKnown &&
        this.options.isUpToDate();
      if (!mayOrder && attempt === 0) {
        book.vanish(run, 'no authority', REFUSED_PAUSE_MILLISECONDS);
        return;
      }
      if (!mayOrder) break;
      const outcome = await this.sendStart(run);
      // The phase may have changed while the answer was on its way.
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
        this.noteRefusal(run, outcome.reason);
        if (attempt > 0) break;
        book.vanish(run, outcome.reason, REFUSED_PAUSE_MILLISECONDS);
        return;
      }
    }
    // An earlier try may have been carried out: the stop settles it.
    this.stop(run);
  }

  /** Ends a run; its end is booked when the worker lists it. */
  stop(run: Run): void {
    if (run.phase === 'stopping') return;
    const wasRecording = run.phase === 'recording';
    run.phase = 'stopping';
    // An intent that was never ordered has nothing to stop on the worker.
    if (wasRecording) this.options.book.vanish(run, 'withdrawn');
    else void this.sendStops(run);
  }

  private async sendStops(run: Run): Promise<void> {
    const {clock, journal, book} = this.options;
    while (
      !this.options.isStopped() &&
      this.options.worker.runs.get(run.task.name) === run
    ) {
      const result = await this.options
        .link()
        .stop(run.task.name, run.attempt, journal.epoch);
      const answeredAt = clock.monotonicNow();
      if (result.isRight()) {
        this.options.onStopped();
        await clock.sleepUntil(
          answeredAt + this.options.timing.stopMilliseconds,
        );
        await this.confirmGone(run, answeredAt);
        return;
      }
      const error = result.extract();
      if (
        error instanceof RefusedError &&
        error.details.reason === 'other-life'
      ) {
        book.vanish(run, 'worker replaced');
        return;
      }
      await clock.sleepUntil(answeredAt + STOP_RETRY_MILLISECONDS);
    }
  }

  /** After an answered stop a run that no look lists does not exist. */
  private async confirmGone(run: Run, stoppedAt: number): Promise<void> {
    const {clock, book, lastLook} = this.options;
    while (
      !this.options.isStopped() &&
      this.options.worker.runs.get(run.task.name) === run
    ) {
      if (
        lastLook().sentAt > stoppedAt &&
        !lastLook().running.has(run.task.name)
      ) {
        book.vanish(run, 'stopped');
        return;
      }
      await clock.sleepUntil(clock.monotonicNow() + STOP_RETRY_MILLISECONDS);
    }
  }

  private async sendStart(run: Run): Promise<StartOutcome> {
    const {clock, journal, logger, metrics} = this.options;
    const sentAt = clock.monotonicNow();
    const outcome = await this.options.link().start({
      taskName: run.task.name,
      attempt: run.attempt,
      payload: run.step.submission.specification.payload,
      leaseEndWorkerMilliseconds: this.options.leases.grant(sentAt),
      fence: journal.epoch,
      checkpoint: run.task.checkpoint,
      ticket: run.ticket,
    });
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

  /** Lets a run work at a share of its speed. */
  async pace(run: Run, percent: number): Promise<void> {
    run.pacePercent = percent;
    const {journal, logger} = this.options;
    const result = await this.options
      .link()
      .pace(run.task.name, run.attempt, percent, journal.epoch);
    logger.info('run paced', {
      task: run.task.name,
      worker: this.options.worker.id,
      percent,
      isApplied: result.isRight(),
    });
    // An unanswered call may not have been applied; the next look decides anew.
    if (result.isLeft()) run.pacePercent = percent === 100 ? 99 : 100;
  }

  private noteRefusal(run: Run, reason: string): void {
    const {clock} = this.options;
    if (reason === 'ticket-expired') {
      run.step.advice.tickets.delete(this.options.worker.id);
    }
    if (reason === 'unhealthy' || reason === 'no-room') {
      this.options.worker.avoidUntil =
        clock.monotonicNow() + UNHEALTHY_PAUSE_MILLISECONDS;
    }
  }
}
