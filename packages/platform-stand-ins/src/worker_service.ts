import type {Clock} from '@cardamomfield/clock';
import {
  NotFoundError,
  RefusedError,
  UnavailableError,
} from '@cardamomfield/errors';
import type {
  LeaseRenewal,
  TaskStart,
  WorkerSnapshot,
} from '@cardamomfield/platform';
import {formatTaskIdentity, type TaskIdentity} from '@cardamomfield/types';
import {type Either, Left, Right} from 'purify-ts';
import type {CallOutcome} from './call_outcome.js';
import {FaultInjector} from './fault_injector.js';
import {Notifier} from './notifier.js';
import {RunningTask} from './running_task.js';
import type {StartRecord} from './start_record.js';
import type {WorkerBehaviour} from './worker_behaviour.js';
import {WorkLedger} from './work_ledger.js';

const DEFAULT_BEHAVIOUR: WorkerBehaviour = {
  failEveryTask: false,
  honoursStartNotAfter: true,
  usageLagMilliseconds: 2_000,
  endedKeptMilliseconds: 60_000,
};

interface WorkerServiceOptions {
  name: string;
  clock: Clock;
  behaviour?: Partial<WorkerBehaviour>;
  /** Can be shared by the workers of a test; defaults to a new ledger. */
  ledger?: WorkLedger;
}

interface WatchRequest {
  after?: {incarnation: string; sequence: number};
  /** Monotonic time on the worker's clock. */
  waitUntil?: number;
}

/**
 * In-process implementation of a worker, without a transport. It accepts starts
 * beyond its capacity and repeated starts of a task, so that test oracles see
 * every violation.
 */
export class WorkerService {
  readonly faults: FaultInjector;
  readonly ledger: WorkLedger;
  private readonly clock: Clock;
  private behaviour: WorkerBehaviour;
  private readonly changed: Notifier;
  private tasks = new Set<RunningTask>();
  private sequence = 0;
  private incarnationCount = 0;
  private incarnation: string;

  private constructor(
    readonly name: string,
    options: WorkerServiceOptions,
  ) {
    this.clock = options.clock;
    this.behaviour = {...DEFAULT_BEHAVIOUR, ...options.behaviour};
    this.ledger = options.ledger ?? WorkLedger.create();
    this.faults = FaultInjector.create({clock: options.clock});
    this.changed = Notifier.create(options.clock);
    this.incarnation = this.nextIncarnation();
    this.faults.onChange(() => this.changed.notify());
  }

  static create(options: WorkerServiceOptions): WorkerService {
    return new WorkerService(options.name, options);
  }

  /** Changes the given settings and keeps the others. */
  setBehaviour(behaviour: Partial<WorkerBehaviour>): void {
    this.behaviour = {...this.behaviour, ...behaviour};
  }

  /** Ends and removes all tasks and begins a new incarnation. */
  restart(): void {
    const stoppedTasks = this.tasks;
    this.tasks = new Set();
    for (const task of stoppedTasks) task.stop();
    this.sequence = 0;
    this.incarnation = this.nextIncarnation();
    this.changed.notify();
  }

  start(start: TaskStart): Promise<CallOutcome<Either<RefusedError, void>>> {
    return this.faults.call(true, () => this.startNow(start));
  }

  stop(task: TaskIdentity): Promise<CallOutcome<Either<never, void>>> {
    return this.faults.call(true, async () => {
      const stopping = this.runningTasks(task);
      for (const running of stopping) running.stop();
      while (stopping.some(running => running.phase === 'running')) {
        await this.changed.wait(Infinity);
      }
      return Right(undefined);
    });
  }

  checkpoint(
    task: TaskIdentity,
  ): Promise<CallOutcome<Either<NotFoundError, unknown>>> {
    return this.faults.call(true, () =>
      this.findRunning(task).map(running => running.checkpoint()),
    );
  }

  throttle(
    task: TaskIdentity,
    processorMillicores: number,
  ): Promise<CallOutcome<Either<NotFoundError, void>>> {
    return this.faults.call(true, () =>
      this.findRunning(task).map(running => {
        running.throttle(processorMillicores);
        void this.reportUsage(running);
      }),
    );
  }

  renewLeases(
    renewals: readonly LeaseRenewal[],
  ): Promise<CallOutcome<Either<never, TaskIdentity[]>>> {
    return this.faults.call(true, () => Right(this.renewNow(renewals)));
  }

  watch(
    request: WatchRequest,
  ): Promise<CallOutcome<Either<UnavailableError, WorkerSnapshot>>> {
    return this.faults.call(false, async () => {
      const waitUntil = request.waitUntil ?? -Infinity;
      while (!this.hasChanged(request.after)) {
        if (this.clock.monotonicNow() >= waitUntil) break;
        await this.changed.wait(waitUntil);
        if (this.faults.current().outage) {
          return Left(UnavailableError.create('injected outage'));
        }
      }
      return Right(this.snapshot(request.after));
    });
  }

  private startNow(start: TaskStart): Either<RefusedError, void> {
    const now = this.clock.wallNow();
    const isLate = now > start.startNotAfter;
    if (isLate && this.behaviour.honoursStartNotAfter) {
      const details = {reason: 'start-not-after', now};
      return Left(RefusedError.create('the start came too late', details));
    }
    const task = RunningTask.create({
      clock: this.clock,
      start,
      failsImmediately: this.behaviour.failEveryTask,
    });
    const record = this.ledger.recordStart(this.name, start, now);
    this.tasks.add(task);
    this.recordChange(task);
    void this.runToEnd(task, record);
    void this.reportUsage(task);
    return Right(undefined);
  }

  private async runToEnd(
    task: RunningTask,
    record: StartRecord,
  ): Promise<void> {
    const tasks = this.tasks;
    const phase = await task.run();
    task.markEnded(phase);
    this.ledger.recordEnd(record, phase, task.endedAt!);
    if (tasks === this.tasks) this.recordChange(task);
    else this.changed.notify();
  }

  private async reportUsage(task: RunningTask): Promise<void> {
    const usage = task.usage();
    const lag = this.behaviour.usageLagMilliseconds;
    await this.clock.sleepUntil(this.clock.monotonicNow() + lag);
    if (task.phase !== 'running' || !this.tasks.has(task)) return;
    task.reportedUsage = usage;
    this.recordChange(task);
  }

  private renewNow(renewals: readonly LeaseRenewal[]): TaskIdentity[] {
    const ended: TaskIdentity[] = [];
    for (const renewal of renewals) {
      const running = this.runningTasks(renewal.task);
      for (const task of running) task.renew(renewal.leaseDeadline);
      if (running.length === 0) ended.push(renewal.task);
    }
    return ended;
  }

  private runningTasks(identity: TaskIdentity): RunningTask[] {
    const name = formatTaskIdentity(identity);
    return [...this.tasks].filter(
      task =>
        task.phase === 'running' &&
        formatTaskIdentity(task.start.task) === name,
    );
  }

  private findRunning(
    identity: TaskIdentity,
  ): Either<NotFoundError, RunningTask> {
    const [task] = this.runningTasks(identity);
    if (task) return Right(task);
    return Left(NotFoundError.create('no such running task', {...identity}));
  }

  private recordChange(task: RunningTask): void {
    this.sequence += 1;
    task.changedAt = this.sequence;
    this.changed.notify();
  }

  private hasChanged(after: WatchRequest['after']): boolean {
    if (after?.incarnation !== this.incarnation) return true;
    return this.sequence > after.sequence;
  }

  private snapshot(after: WatchRequest['after']): WorkerSnapshot {
    this.removeExpiredTasks();
    const isDelta = after?.incarnation === this.incarnation;
    const since = isDelta ? after.sequence : -1;
    const changed = [...this.tasks].filter(task => task.changedAt > since);
    return {
      worker: this.name,
      incarnation: this.incarnation,
      sequence: this.sequence,
      tasks: changed.map(task => task.view()),
    };
  }

  private removeExpiredTasks(): void {
    const oldest = this.clock.wallNow() - this.behaviour.endedKeptMilliseconds;
    for (const task of this.tasks) {
      if (task.endedAt !== undefined && task.endedAt < oldest) {
        this.tasks.delete(task);
      }
    }
  }

  private nextIncarnation(): string {
    this.incarnationCount += 1;
    return `${this.name}-${this.clock.wallNow()}-${this.incarnationCount}`;
  }
}
