import type {Clock} from '@cardamomfield/clock';
import type {TaskPhase, TaskStart, WorkerTask} from '@cardamomfield/platform';
import {TaskBehaviour} from './task_behaviour.js';
import {Notifier} from './notifier.js';

interface RunningTaskOptions {
  clock: Clock;
  start: TaskStart;
  /** Fails immediately, whatever the payload says. */
  failsImmediately: boolean;
}

/** A task that was started on a stand-in worker. */
export class RunningTask {
  phase: TaskPhase = 'running';
  endedAt: number | undefined;
  value: WorkerTask['value'];
  reportedUsage: WorkerTask['usage'];
  /** The worker's sequence number at the last change of this task. */
  changedAt = 0;
  leaseDeadline: number;
  readonly startedAt: number;
  private throttleMillicores = Infinity;
  private stopRequested = false;
  private readonly behaviour: TaskBehaviour;
  private readonly changed: Notifier;

  private constructor(
    private readonly clock: Clock,
    readonly start: TaskStart,
    private readonly failsImmediately: boolean,
  ) {
    this.leaseDeadline = start.leaseDeadline;
    this.startedAt = clock.wallNow();
    this.behaviour = TaskBehaviour.catch(TaskBehaviour.parse({})).parse(
      start.payload,
    );
    this.changed = Notifier.create(clock);
  }

  static create(options: RunningTaskOptions): RunningTask {
    return new RunningTask(
      options.clock,
      options.start,
      options.failsImmediately,
    );
  }

  /** Resolves with the final phase when the task ends. */
  async run(): Promise<TaskPhase> {
    const endsAt = this.clock.wallNow() + this.remainingMilliseconds();
    for (;;) {
      const now = this.clock.wallNow();
      if (this.stopRequested) return 'stopped';
      // A task whose run time ends at its lease deadline counts as finished.
      if (now >= endsAt) return this.isFailing() ? 'failed' : 'succeeded';
      if (now >= this.leaseDeadline) return 'lease-expired';
      const next = Math.min(endsAt, this.leaseDeadline);
      await this.changed.wait(this.clock.monotonicNow() + next - now);
    }
  }

  markEnded(phase: TaskPhase): void {
    this.phase = phase;
    this.endedAt = this.clock.wallNow();
    if (phase === 'succeeded') this.value = this.behaviour.value;
    if (phase === 'failed') this.value = this.failureValue();
  }

  /** Requests the end of the task; `run` then resolves immediately. */
  stop(): void {
    this.stopRequested = true;
    this.changed.notify();
  }

  /** Extends the lease; an earlier deadline is ignored. */
  renew(leaseDeadline: number): void {
    this.leaseDeadline = Math.max(this.leaseDeadline, leaseDeadline);
    this.changed.notify();
  }

  /** Limits the processor use shown by later usage reports. */
  throttle(processorMillicores: number): void {
    this.throttleMillicores = processorMillicores;
  }

  /** Resources that the task uses now. */
  usage(): NonNullable<WorkerTask['usage']> {
    const usage = this.behaviour.usage ?? this.start.demand;
    const processorMillicores = Math.min(
      usage.processorMillicores,
      this.throttleMillicores,
    );
    return {...usage, processorMillicores};
  }

  /** State from which a later attempt can resume. */
  checkpoint(): {ranMilliseconds: number} {
    const currentRunMilliseconds = this.clock.wallNow() - this.startedAt;
    return {
      ranMilliseconds: this.previousRunMilliseconds() + currentRunMilliseconds,
    };
  }

  /** The task's entry in the worker's task list. */
  view(): WorkerTask {
    const {start} = this;
    return {
      task: start.task,
      epoch: start.epoch,
      coordinator: start.coordinator,
      team: start.team,
      service: start.service,
      kind: start.kind,
      idempotent: start.idempotent,
      taskCount: start.taskCount,
      demand: start.demand,
      phase: this.phase,
      startedAt: this.startedAt,
      leaseDeadline: this.leaseDeadline,
      ...(this.endedAt !== undefined && {endedAt: this.endedAt}),
      ...(this.value !== undefined && {value: this.value}),
      ...(this.reportedUsage && {usage: this.reportedUsage}),
    };
  }

  private isFailing(): boolean {
    return this.failsImmediately || this.behaviour.fail;
  }

  private failureValue(): WorkerTask['value'] {
    if (this.failsImmediately) return {message: 'injected fault of the worker'};
    return this.behaviour.value;
  }

  private remainingMilliseconds(): number {
    if (this.failsImmediately) return 0;
    if (this.start.kind === 'service') {
      return this.behaviour.fail ? this.behaviour.runMilliseconds : Infinity;
    }
    return Math.max(
      0,
      this.behaviour.runMilliseconds - this.previousRunMilliseconds(),
    );
  }

  private previousRunMilliseconds(): number {
    const checkpoint = this.start.checkpoint as
      {ranMilliseconds?: unknown} | null | undefined;
    const ran = checkpoint?.ranMilliseconds;
    return typeof ran === 'number' ? ran : 0;
  }
}
