import {
  type EndedSubmission,
  RecordCodec,
  type Placement,
  type Run,
  type ShardState,
  type StepState,
  type SubmissionRecord,
  type TaskState,
  type WorkerPerformance,
} from '@cardamomfield/cell-scheduler';
import type {RunEnd} from '@cardamomfield/cell-model';
import type {Clock} from '@cardamomfield/clock';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';
import type {LeaseRecords} from './lease_records.js';
import {remainingOf} from './remaining_of.js';
import type {RepeatedFailures} from './repeated_failures.js';
import type {RunEvidence} from './run_evidence.js';
import type {ShardJournal} from './shard_journal.js';

/** Delay before a task is placed again after a run that did not complete it. */
const RETRY_DELAY_MILLISECONDS = 30;

/** Reasons of lost runs that show that their worker was lost or restarted. */
const WORKER_LOSSES: ReadonlySet<string> = new Set([
  'lease expired',
  'worker restarted',
  'worker replaced',
]);

interface RunTrackerOptions {
  state: ShardState;
  journal: ShardJournal;
  leaseRecords: LeaseRecords;
  performance: WorkerPerformance;
  /** Missing where workers are judged by all their runs. */
  repeatedFailures?: RepeatedFailures | undefined;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** What is known about the worker of a run; undefined without a session. */
  evidenceOf: (run: Run) => RunEvidence | undefined;
  /** Called for a run that must be stopped on its worker. */
  onStop: (run: Run) => void;
  /** Called for a run that completed its task, or its whole gang. */
  onDone?: (run: Run) => void;
  /** Called when free capacity or the set of waiting tasks changed. */
  onChange: () => void;
}

/**
 * Tracks the runs of the shard: records how they start and end, and updates
 * their tasks, steps and submissions accordingly.
 */
export class RunTracker {
  /** Number of runs left of ended submissions whose record names these. */
  private readonly runsLeft = new Map<string, number>();

  private constructor(private readonly options: RunTrackerOptions) {}

  static create(options: RunTrackerOptions): RunTracker {
    return new RunTracker(options);
  }

  /**
   * Reserves the worker's capacity for a new run and marks the intent to start
   * it for the journal.
   */
  begin(placement: Placement): Run {
    const {step, task, worker} = placement;
    const {leaseRecords} = this.options;
    const now = this.options.clock.monotonicNow();
    task.attempt = this.nextAttempt(step, task);
    const run = createRun(step, task, worker.id, placement.ticket, now);
    task.phase = 'placed';
    task.run = run;
    task.workerId = worker.id;
    task.workerBornAt = worker.description.bornAtUnixMilliseconds;
    task.workerAddress = worker.description.address;
    worker.add(run);
    this.options.state.teamUsage.add(run);
    // The start grants a lease; it is sent once the intent is durable.
    if (step.specification.isService || leaseRecords.has(worker.id)) {
      leaseRecords.require(worker.id);
    }
    this.options.journal.mark(RecordCodec.progressKey(step, task));
    this.options.onChange();
    return run;
  }

  /** Records the end of a run that the worker reported. */
  end(run: Run, end: RunEnd): void {
    const {step, task} = run;
    const isCurrent = task.run === run;
    this.release(run);
    if (!isCurrent) return;
    this.options.metrics.increment('runs_ended', 1, {kind: end.kind});
    this.options.logger.info('run ended', {
      task: task.name,
      attempt: run.attempt,
      worker: run.workerId,
      kind: end.kind,
    });
    if (end.checkpoint !== '') setCheckpoint(step, task, end.checkpoint);
    if (task.phase === 'done') return;
    if (end.kind === 'done' || end.kind === 'failed') {
      const now = this.options.clock.monotonicNow();
      this.options.performance.noteEnd(run, end.kind, now);
      this.options.repeatedFailures?.noteEnd(run, end.kind, now);
    }
    this.countFailure(run, end);
    if (end.kind === 'done' && !step.specification.isService) {
      this.markDone(step, task);
      this.options.onDone?.(run);
    } else {
      this.requeue(task, RETRY_DELAY_MILLISECONDS);
    }
    this.markTask(step, task);
    this.checkSubmission(run);
  }

  /**
   * Records that a run does not exist and can never start any more. Its task is
   * queued again.
   */
  markLost(run: Run, reason: string, delayMilliseconds = 0): void {
    const {step, task} = run;
    const isCurrent = task.run === run;
    this.release(run);
    if (WORKER_LOSSES.has(reason)) this.noteWorkerLoss(run.workerId);
    if (!isCurrent || task.phase === 'done') return;
    this.logLoss(run, reason);
    this.requeue(task, delayMilliseconds);
    this.markTask(step, task);
    if (step.specification.isGang) this.stopRuns(step);
  }

  /** Records that a worker was lost or restarted, with or without runs. */
  noteWorkerLoss(workerId: string): void {
    const {performance, clock} = this.options;
    performance.noteLoss(workerId, clock.monotonicNow());
  }

  /** Stops every run of a step. */
  stopRuns(step: StepState): void {
    for (const member of step.tasks) {
      if (member.run && member.run.phase !== 'stopping') {
        this.options.onStop(member.run);
      }
    }
  }

  /** Ends a submission and stops its runs. */
  endSubmission(
    submission: SubmissionRecord,
    ending: 'failed' | 'cancelled',
  ): void {
    void this.close(submission, ending);
    this.options.metrics.increment('submissions_ended', 1, {ending});
    this.options.logger.info('submission ended', {
      submission: submission.id,
      ending,
    });
    for (const step of submission.occurrences.flat()) this.stopRuns(step);
  }

  /**
   * Creates the run of a task that an earlier owner placed. The reports of its
   * worker show whether it still runs. Unless its start is confirmed, it does not
   * count as lost before `notLostBefore`.
   */
  adopt(step: StepState, task: TaskState, notLostBefore: number): Run {
    const run = createRun(
      step,
      task,
      task.workerId,
      '',
      this.options.clock.monotonicNow(),
    );
    run.phase = 'running';
    run.runningSince = -Infinity;
    run.notLostBefore = task.isStartConfirmed ? -Infinity : notLostBefore;
    run.isAdopted = true;
    task.run = run;
    this.options.state.teamUsage.add(run);
    return run;
  }

  /** Records for the next owner that the start of a run is confirmed. */
  confirm(run: Run): void {
    if (run.task.isStartConfirmed || run.task.run !== run) return;
    run.task.isStartConfirmed = true;
    this.markTask(run.step, run.task);
  }

  /** Marks the record of a task. The members of a gang change together. */
  markTask(step: StepState, task: TaskState): void {
    const keys = step.specification.isGang
      ? RecordCodec.progressKeys(step)
      : [RecordCodec.progressKey(step, task)];
    for (const key of keys) this.options.journal.mark(key);
    this.options.onChange();
  }

  /** A warning if no answer of the worker itself proves the end of the run. */
  private logLoss(run: Run, reason: string): void {
    const {logger, metrics} = this.options;
    metrics.increment('runs_gone', 1, {reason});
    const evidence = this.options.evidenceOf(run);
    const fields = {
      task: run.task.name,
      attempt: run.attempt,
      worker: run.workerId,
      reason,
      ...evidence,
    };
    if (evidence?.isReachable) logger.info('run lost', fields);
    else logger.warn('run lost', fields);
  }

  private nextAttempt(step: StepState, task: TaskState): number {
    if (!step.specification.isGang) return task.attempt + 1;
    // All members of a gang share one attempt number. The first member that is
    // placed raises it.
    if (!step.tasks.some(member => member.run)) {
      const attempts = step.tasks.map(member => member.attempt);
      step.gangAttempt = attempts.reduce((a, b) => Math.max(a, b), 0) + 1;
    }
    return step.gangAttempt;
  }

  private release(run: Run): void {
    this.options.state.workers.get(run.workerId)?.remove(run);
    this.options.state.teamUsage.remove(run);
    if (run.phase !== 'gone') this.countRunsLeft(run.step.submission);
    if (run.task.run === run) run.task.run = undefined;
    run.phase = 'gone';
    this.options.onChange();
  }

  /** Records when the last run of an ended submission has ended. */
  private countRunsLeft({id}: SubmissionRecord): void {
    const left = this.runsLeft.get(id);
    if (left === undefined) return;
    if (left > 1) {
      this.runsLeft.set(id, left - 1);
      return;
    }
    this.runsLeft.delete(id);
    const ended = this.options.state.ended.get(id);
    if (!ended?.remaining) return;
    ended.remaining = undefined;
    this.options.journal.mark(RecordCodec.endingKey(id));
  }

  private requeue(task: TaskState, delayMilliseconds: number): void {
    task.phase = 'waiting';
    task.workerId = '';
    task.workerBornAt = 0;
    task.workerAddress = '';
    task.isStartConfirmed = false;
    task.notBefore = this.options.clock.monotonicNow() + delayMilliseconds;
  }

  private markDone(step: StepState, task: TaskState): void {
    // A gang is done as soon as one of its members is done.
    const done = step.specification.isGang ? step.tasks : [task];
    for (const member of done) {
      if (member.phase !== 'done') step.doneCount++;
      member.phase = 'done';
    }
  }

  private countFailure(run: Run, end: RunEnd): void {
    const {workerId, step, task} = run;
    if (end.kind !== 'failed') return;
    task.lastFailedWorkerId = workerId;
    if (!step.specification.isService) task.failures++;
    if (step.specification.isGang) this.countGangFailure(run);
  }

  private countGangFailure({step, attempt, workerId}: Run): void {
    if (!step.countGangFailure(attempt)) return;
    this.options.logger.info('run of a gang failed', {
      step: step.name,
      attempt,
      worker: workerId,
      failures: step.gangFailures,
    });
  }

  private checkSubmission({step, task, attempt, workerId}: Run): void {
    const {submission} = step;
    if (submission.ending) return;
    // The failures of one member can be more than those counted for its gang
    // after a takeover from an earlier version.
    const failures = Math.max(step.gangFailures, task.failures);
    const {maximumAttempts} = submission.queue;
    if (!step.specification.isService && failures >= maximumAttempts) {
      this.options.logger.info('attempts of a task used up', {
        task: task.name,
        attempt,
        worker: workerId,
        failures,
        maximumAttempts,
      });
      this.endSubmission(submission, 'failed');
      return;
    }
    if (submission.areAllTasksDone) void this.complete(submission);
  }

  private async complete(submission: SubmissionRecord): Promise<void> {
    if (!(await this.close(submission, 'completed'))) return;
    this.options.metrics.increment('submissions_completed');
    this.options.logger.info('submission completed', {
      submission: submission.id,
    });
  }

  /**
   * Replaces the records of a submission by the record of its ending. Returns
   * whether the ending is durable; callers do not see it before.
   */
  private async close(
    submission: SubmissionRecord,
    ending: EndedSubmission['ending'],
  ): Promise<boolean> {
    const {state, journal, clock} = this.options;
    const ended = state.close(submission, ending, clock.wallNow());
    ended.remaining = remainingOf(submission);
    if (ended.remaining) {
      const tasks = submission.occurrences.flat().flatMap(step => step.tasks);
      const count = tasks.filter(task => task.run).length;
      this.runsLeft.set(submission.id, count);
    }
    journal.mark(RecordCodec.endingKey(submission.id));
    journal.mark(RecordCodec.submissionKey(submission.id));
    for (const step of submission.occurrences.flat()) {
      for (const key of RecordCodec.progressKeys(step)) journal.mark(key);
    }
    const committed = await journal.commit();
    if (committed.isLeft()) return false;
    state.confirmEnded(submission.id, ended);
    return true;
  }
}

function createRun(
  step: StepState,
  task: TaskState,
  workerId: string,
  ticket: string,
  now: number,
): Run {
  const {specification} = step;
  return {
    step,
    task,
    attempt: task.attempt,
    workerId,
    phase: 'recording',
    milliCores: specification.usesSpareCapacity ? 0 : specification.milliCores,
    memoryMegabytes: specification.memoryMegabytes,
    accelerators: specification.accelerators,
    ticket,
    hasUnansweredStart: false,
    isStartAnswered: false,
    isAdopted: false,
    notLostBefore: -Infinity,
    placedAt: now,
    runningSince: undefined,
    progressPercent: 0,
    checkpointedAt: now,
    progressedAt: now,
    load: 0,
    pacePercent: 100,
  };
}

function setCheckpoint(
  step: StepState,
  task: TaskState,
  checkpoint: string,
): void {
  // All members of a gang must have the same checkpoint.
  const recipients = step.specification.isGang ? step.tasks : [task];
  for (const member of recipients) member.checkpoint = checkpoint;
}
