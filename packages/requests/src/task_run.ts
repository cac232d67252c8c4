import type {Clock} from '@cardamomfield/clock';
import {UncertainError} from '@cardamomfield/errors';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';
import {
  CANCEL_TASKS,
  FOLLOW_TASK,
  type PeerNetwork,
  PLACE_TASKS,
  type PlacementOrder,
  type TaskUpdate,
} from '@cardamomfield/peer-protocol';
import type {RetryBudget} from '@cardamomfield/retries';
import type {
  FailureDescription,
  TaskConclusion,
  TaskResult,
} from '@cardamomfield/types';
import type {OwnerChooser} from './owner_chooser.js';
import type {RegistrationStatus} from './registration_status.js';
import type {RequestRecord} from './request_record.js';
import type {TaskFinder} from './task_finder.js';
import type {TaskRecord} from './task_record.js';

/** Time for an owner to accept or refuse an order. */
const PLACE_TIMEOUT_MILLISECONDS = 1_000;

/** Pause when no owner offers a worker for the task. */
const NO_OWNER_BACKOFF_MILLISECONDS = 100;

/** Pause between two searches for a task whose owner is lost. */
const FIND_RETRY_PAUSE_MILLISECONDS = 300;

/** Time for an owner to accept a cancellation, and the retry interval. */
const CANCEL_TIMEOUT_MILLISECONDS = 1_000;

/** Time for one owner to restart a service before another owner is tried. */
const SERVICE_RESTART_MILLISECONDS = 30_000;

/** Time for an owner to answer a request to follow a task. */
const FOLLOW_TIMEOUT_MILLISECONDS = 1_000;

/** Interval for asking the owner whether it still has a waiting task. */
const OWNER_CHECK_PERIOD_MILLISECONDS = 3_000;

/**
 * Time after an adoption during which an owner may still accept orders of the
 * earlier coordinator: the lifetime of an order plus the allowed skew between
 * two wall clocks (1 s).
 */
const ADOPTION_SETTLE_MILLISECONDS = PLACE_TIMEOUT_MILLISECONDS + 1_000;

/** Limit on attempts that end with a failure of the task itself. */
const MAXIMUM_FAILED_ATTEMPTS = 3;

interface TaskRunOptions {
  self: string;
  incarnation: string;
  network: PeerNetwork;
  clock: Clock;
  chooser: OwnerChooser;
  finder: TaskFinder;
  logger: Logger;
  metrics: Metrics;
  retries: RetryBudget;
  /**
   * Checks whether this process still coordinates the request, for example
   * before every attempt.
   */
  confirmRegistration: () => Promise<RegistrationStatus>;
}

type Reason = FailureDescription;

/** Runs one task: starts attempts until the task has a conclusion. */
export class TaskRun {
  private readonly excludedOwners = new Set<string>();
  private readonly excludedWorkers = new Set<string>();
  private failedAttempts = 0;
  /** Wall-clock instant just before the latest attempt's registration check. */
  private confirmedAt = 0;

  private constructor(
    private readonly record: RequestRecord,
    private readonly task: TaskRecord,
    private readonly options: TaskRunOptions,
  ) {}

  static create(
    record: RequestRecord,
    task: TaskRecord,
    options: TaskRunOptions,
  ): TaskRun {
    return new TaskRun(record, task, options);
  }

  /**
   * Runs until the task has a conclusion. Returns undefined when another
   * coordinator has taken the request over.
   */
  async run(): Promise<TaskConclusion | undefined> {
    if (this.task.conclusion) return this.task.conclusion;
    if (this.record.isAdopted) {
      const conclusion = await this.resume();
      if (conclusion) return conclusion;
    }
    for (;;) {
      if (this.record.isHandedOver) return undefined;
      const obstacle = this.findObstacle();
      if (obstacle) return this.task.earlier ?? obstacle;
      // Read the clock before the check. If this process pauses after it, the
      // request may have been adopted by the time the order is sent; the order
      // has then expired, and the owner refuses it.
      this.confirmedAt = this.options.clock.wallNow();
      const status = await this.options.confirmRegistration();
      if (status === 'lost') return this.markHandedOver();
      if (status === 'unavailable') continue;
      if (this.task.attempt === 0) this.options.retries.recordRequest();
      this.task.startAttempt();
      const isSent = await this.place();
      if (!isSent) continue;
      const update = await this.waitForEnd();
      const conclusion = update && this.conclude(update);
      if (conclusion) return conclusion;
    }
  }

  /** Records that another coordinator now continues the request. */
  private markHandedOver(): undefined {
    this.record.isHandedOver = true;
    this.record.notifyChange();
  }

  /** Continues the latest attempt that the earlier coordinator started. */
  private async resume(): Promise<TaskConclusion | undefined> {
    await this.pause(ADOPTION_SETTLE_MILLISECONDS);
    // Search even if the known attempt has ended: the earlier coordinator may
    // have ordered the next one after it sent the backup.
    while (!(await this.findLatestAttempt())) {
      if (this.record.isHandedOver) return undefined;
      await this.pause(FIND_RETRY_PAUSE_MILLISECONDS);
    }
    const update = await this.waitForEnd();
    return update && this.conclude(update);
  }

  /**
   * Resumes the latest attempt that any host reports, because the backup of
   * the request may be older. Returns false if the search found no newer state
   * and did not cover all groups.
   */
  private async findLatestAttempt(): Promise<boolean> {
    const report = await this.options.finder.find(this.record.key);
    const [latest] = report.tasks
      .filter(each => each.task.index === this.task.index)
      .sort((first, second) => second.task.attempt - first.task.attempt);
    const known = Math.max(this.task.attempt, 1);
    const hasEnded = this.task.hasEnded();
    const firstUnknown = hasEnded ? known + 1 : known;
    if (latest && latest.task.attempt >= firstUnknown) {
      this.task.resumeAttempt(latest.task.attempt);
      if (latest.update) this.applyUpdate(latest.update);
      if (latest.isLive) await this.attachToOwner(latest.reporter);
      return true;
    }
    if (!report.isComplete) return false;
    if (hasEnded) return true;
    this.task.resumeAttempt(known);
    this.applyUpdate(this.lostUpdate());
    return true;
  }

  /** Returns the reason why no further attempt may start, if there is one. */
  private findObstacle(): TaskConclusion | undefined {
    if (this.record.isCancelled) {
      return notRunConclusion(
        'cancelled',
        'the request was cancelled before it started',
      );
    }
    if (this.isOverdue()) {
      return notRunConclusion(
        'deadline-exceeded',
        'the deadline passed before the task could start',
      );
    }
    return undefined;
  }

  /** A service that has already run may restart after its deadline. */
  private isOverdue(): boolean {
    const {submission} = this.record;
    if (submission.kind === 'service' && this.task.earlier) return false;
    return this.options.clock.wallNow() >= submission.deadline;
  }

  /**
   * Sends the order to an owner. Returns false only when the order certainly
   * has no effect.
   */
  private async place(): Promise<boolean> {
    const {chooser, network, clock} = this.options;
    const owner = chooser.choose(this.record.submission, this.excludedOwners);
    if (!owner) {
      this.excludedOwners.clear();
      await this.pause(NO_OWNER_BACKOFF_MILLISECONDS);
      return false;
    }
    this.task.owner = {name: owner.name, incarnation: owner.incarnation};
    const deadline = clock.monotonicNow() + PLACE_TIMEOUT_MILLISECONDS;
    const order = this.createOrder();
    this.task.orderNotAfter = order.notAfter;
    const answer = await network.call(owner.name, PLACE_TASKS, order, deadline);
    return answer.caseOf({
      Right: () => true,
      Left: error => {
        if (error instanceof UncertainError) return true;
        this.excludedOwners.add(owner.name);
        return false;
      },
    });
  }

  private createOrder(): PlacementOrder {
    const {submission} = this.record;
    const {index, attempt, checkpoint} = this.task;
    const task = {index, attempt};
    const now = this.options.clock.wallNow();
    const restartDeadline = now + SERVICE_RESTART_MILLISECONDS;
    return {
      ...submission,
      deadline: this.task.earlier
        ? Math.max(submission.deadline, restartDeadline)
        : submission.deadline,
      coordinator: this.options.self,
      coordinatorIncarnation: this.options.incarnation,
      tasks: [
        checkpoint === undefined ? task : {...task, checkpoint: checkpoint},
      ],
      excludedWorkers: [...this.excludedWorkers],
      notAfter: this.confirmedAt + PLACE_TIMEOUT_MILLISECONDS,
    };
  }

  /**
   * Waits for the attempt to end, also when its owner changes. Returns
   * undefined when another coordinator has taken the request over.
   */
  private async waitForEnd(): Promise<TaskUpdate | undefined> {
    const {clock} = this.options;
    let nextCancel = 0;
    let nextCheck = clock.monotonicNow() + OWNER_CHECK_PERIOD_MILLISECONDS;
    for (;;) {
      if (this.record.isHandedOver) return undefined;
      const update = this.task.update;
      if (update && this.task.hasEnded()) return update;
      if (update?.stage === 'in-doubt' || this.isOwnerLost()) {
        await this.resolveWithoutOwner();
        continue;
      }
      const now = clock.monotonicNow();
      if (this.record.isCancelled && now >= nextCancel) {
        // The first cancellation had no effect. The owner may report to another
        // coordinator.
        const isRepeated = nextCancel > 0;
        nextCancel = now + CANCEL_TIMEOUT_MILLISECONDS;
        if (isRepeated && (await this.isSuperseded())) continue;
        await this.sendCancel(isRepeated);
        continue;
      }
      if (!update && now >= nextCheck) {
        nextCheck = now + OWNER_CHECK_PERIOD_MILLISECONDS;
        await this.checkOwner();
        continue;
      }
      await this.record.waitForChange(
        Math.min(
          this.record.isCancelled ? nextCancel : Infinity,
          update ? Infinity : nextCheck,
        ),
      );
    }
  }

  /**
   * Asks the owner whether it has the task, because the order or its answer
   * may have been lost.
   */
  private async checkOwner(): Promise<void> {
    const isOrderExpired =
      this.options.clock.wallNow() > this.task.orderNotAfter;
    const owner = this.task.owner;
    if (!owner || !isOrderExpired || (await this.isSuperseded())) return;
    const isKnown = await this.sendFollow(owner.name);
    // The task may have moved to a new owner of its group. Clear the owner, so
    // that all hosts are searched.
    if (isKnown === false && !this.task.update) this.task.owner = undefined;
  }

  private async isSuperseded(): Promise<boolean> {
    const status = await this.options.confirmRegistration();
    if (status === 'lost') this.markHandedOver();
    return status === 'lost';
  }

  /** Whether there is no owner, or the owner is not live or has restarted. */
  private isOwnerLost(): boolean {
    const {network, chooser} = this.options;
    const owner = this.task.owner;
    if (!owner || owner.name === network.self) return !owner;
    if (!network.livePeers().includes(owner.name)) return true;
    const incarnation = chooser.incarnationOf(owner.name);
    return incarnation !== undefined && incarnation !== owner.incarnation;
  }

  private async sendCancel(isRepeated: boolean): Promise<void> {
    const {network, clock} = this.options;
    const owner = this.task.owner;
    if (!owner) return;
    // The owner accepts a cancellation only from the coordinator that it
    // reports to. Register as that coordinator first.
    if (isRepeated) await this.sendFollow(owner.name);
    const deadline = clock.monotonicNow() + CANCEL_TIMEOUT_MILLISECONDS;
    const keys = [this.record.key];
    await network.call(owner.name, CANCEL_TASKS, {keys}, deadline);
  }

  /**
   * Determines the state of an attempt without an owner. Only a search that
   * covers all worker groups proves that the task is not live.
   */
  private async resolveWithoutOwner(): Promise<void> {
    if (this.revokeDispatch()) return;
    const report = await this.options.finder.find(this.record.key);
    if (this.task.hasEnded()) return;
    const found = report.tasks.find(
      each =>
        each.task.index === this.task.index &&
        each.task.attempt === this.task.attempt,
    );
    if (found) {
      if (found.update) this.applyUpdate(found.update);
      if (found.isLive) await this.attachToOwner(found.reporter);
      return;
    }
    const isOrderExpired =
      this.options.clock.wallNow() > this.task.orderNotAfter;
    if (report.isComplete && isOrderExpired) {
      this.applyUpdate(this.lostUpdate());
      return;
    }
    await this.pause(FIND_RETRY_PAUSE_MILLISECONDS);
  }

  /**
   * Ends the attempt of a non-idempotent task that has no dispatch permit.
   * Such a task starts only with a permit, and from here on none is granted.
   * Returns whether the attempt was ended.
   */
  private revokeDispatch(): boolean {
    if (this.record.submission.idempotent) return false;
    if (this.task.isDispatchPermitted) return false;
    this.task.isDispatchRevoked = true;
    this.applyUpdate({
      stage: 'not-started',
      task: this.identity(),
      epoch: 0,
      reason: 'the owner went away before it asked for a dispatch permit',
    });
    return true;
  }

  /** Registers this process as the task's coordinator at an owner. */
  private async attachToOwner(name: string): Promise<void> {
    // Without this check, a coordinator that was declared dead would receive
    // the task's updates instead of the coordinator that adopted the request.
    if (await this.isSuperseded()) return;
    const {chooser} = this.options;
    const incarnation = chooser.incarnationOf(name) ?? '';
    this.task.owner = {name, incarnation};
    if (await this.sendFollow(name)) return;
    this.task.owner = undefined;
    await this.pause(FIND_RETRY_PAUSE_MILLISECONDS);
  }

  /**
   * Asks the owner to send updates of the attempt. Returns whether the owner
   * has the attempt, or undefined without an answer.
   */
  private async sendFollow(owner: string): Promise<boolean | undefined> {
    const {clock, network} = this.options;
    const deadline = clock.monotonicNow() + FOLLOW_TIMEOUT_MILLISECONDS;
    const task = this.identity();
    const answer = await network.call(owner, FOLLOW_TASK, {task}, deadline);
    return answer.toMaybe().extract()?.isKnown;
  }

  private lostUpdate(): TaskUpdate {
    return {
      stage: 'lost',
      task: this.identity(),
      epoch: 0,
      worker: '',
      reason: 'the owner went away and no worker runs the task',
    };
  }

  private identity(): TaskUpdate['task'] {
    const {index, attempt} = this.task;
    return {key: this.record.key, index, attempt};
  }

  private applyUpdate(update: TaskUpdate): void {
    if (this.task.apply(update)) this.record.notifyChange();
  }

  /** Returns the conclusion, or undefined when another attempt is due. */
  private conclude(update: TaskUpdate): TaskConclusion | undefined {
    switch (update.stage) {
      case 'ended':
        return this.concludeEnded(update);
      case 'not-started':
        return this.concludeNotStarted(update);
      case 'displaced':
        return this.concludeDisplaced(update);
      case 'lost':
        return this.concludeLost(update);
      default:
        return undefined;
    }
  }

  private concludeEnded(
    update: Extract<TaskUpdate, {stage: 'ended'}>,
  ): TaskConclusion | undefined {
    const {worker, succeeded, value} = update;
    this.task.earlier = this.ranConclusion(worker, succeeded, value);
    if (succeeded || !this.mayRetryFailure()) return this.task.earlier;
    this.excludedWorkers.add(worker);
    return undefined;
  }

  private mayRetryFailure(): boolean {
    if (!this.mayRepeat()) return false;
    this.failedAttempts += 1;
    if (this.failedAttempts >= MAXIMUM_FAILED_ATTEMPTS) return false;
    return this.options.retries.tryTake();
  }

  private concludeNotStarted(
    update: Extract<TaskUpdate, {stage: 'not-started'}>,
  ): undefined {
    if (this.task.owner) this.excludedOwners.add(this.task.owner.name);
    this.options.logger.debug('attempt did not start', {
      key: this.record.key,
      reason: update.reason,
    });
  }

  private concludeDisplaced(
    update: Extract<TaskUpdate, {stage: 'displaced'}>,
  ): TaskConclusion | undefined {
    const {submission, isCancelled} = this.record;
    const succeeded = isCancelled && submission.kind === 'service';
    const value = {stopped: update.reason};
    this.task.earlier = this.ranConclusion(update.worker, succeeded, value);
    this.task.checkpoint = update.checkpoint ?? this.task.checkpoint;
    return this.mayRepeat() ? undefined : this.task.earlier;
  }

  private concludeLost(
    update: Extract<TaskUpdate, {stage: 'lost'}>,
  ): TaskConclusion | undefined {
    const reason: Reason = {code: 'uncertain', message: update.reason};
    this.task.earlier = {kind: 'unknown', reason};
    return this.mayRepeat() ? undefined : this.task.earlier;
  }

  private mayRepeat(): boolean {
    const {submission, isCancelled} = this.record;
    return submission.idempotent && !isCancelled && !this.isOverdue();
  }

  private ranConclusion(
    worker: string,
    succeeded: boolean,
    value: TaskResult['value'],
  ): TaskConclusion {
    const result = {index: this.task.index, worker, succeeded, value};
    return {kind: 'ran', result};
  }

  private pause(milliseconds: number): Promise<void> {
    const {clock} = this.options;
    return clock.sleepUntil(clock.monotonicNow() + milliseconds);
  }
}

function notRunConclusion(code: string, message: string): TaskConclusion {
  const reason: Reason = {code, message};
  return {kind: 'not-run', reason};
}
