import {
  RefusedError,
  type TypedError,
  UnavailableError,
} from '@cardamomfield/errors';
import {PERMIT_DISPATCH} from '@cardamomfield/peer-protocol';
import type {TaskStart} from '@cardamomfield/platform';
import type {OwnedTask} from './owned_task.js';
import type {OwnerContext} from './owner_context.js';
import type {TaskTransitions} from './task_transitions.js';
import type {TaskStopper} from './task_stopper.js';
import type {WorkerSession} from './worker_session.js';
import type {WorkerSessions} from './worker_sessions.js';

/** Minimum time that must remain for a start to reach its worker. */
const MINIMUM_START_MILLISECONDS = 100;

/** Pause between two full reads for a task whose start was not confirmed. */
const IN_DOUBT_PAUSE_MILLISECONDS = 300;

/** Executes placements, from the decision up to the running task. */
export class Dispatcher {
  private constructor(
    private readonly context: OwnerContext,
    private readonly sessions: WorkerSessions,
    private readonly transitions: TaskTransitions,
    private readonly stopper: TaskStopper,
    private readonly requeue: (task: OwnedTask) => void,
  ) {}

  static create(
    context: OwnerContext,
    sessions: WorkerSessions,
    transitions: TaskTransitions,
    stopper: TaskStopper,
    requeue: (task: OwnedTask) => void,
  ): Dispatcher {
    return new Dispatcher(context, sessions, transitions, stopper, requeue);
  }

  /** Starts a task on the worker reserved by the scheduler. */
  async dispatch(task: OwnedTask): Promise<void> {
    const session = this.sessions.find(task.worker);
    const authority = this.context.ownership.authority(task.group);
    if (!session || !authority) return this.reject(task, 'group lost');
    task.stage = 'starting';
    task.epoch = authority.epoch;
    if (!(await this.isPermitted(task))) {
      return this.transitions.markNotStarted(
        task,
        'the coordinator gave no permit',
      );
    }
    // The authority may have ended during the call for the permit.
    const start = this.createStart(task);
    if (!start) return this.reject(task, 'authority is not held');
    await this.sendStart(task, session, start);
  }

  private async isPermitted(task: OwnedTask): Promise<boolean> {
    if (task.spec.idempotent) return true;
    const {network, clock, settings} = this.context;
    const deadline = clock.monotonicNow() + settings.commandMilliseconds;
    const {identity, epoch, worker} = task;
    const answer = await network.call(
      task.coordinator.name,
      PERMIT_DISPATCH,
      {task: identity, epoch, worker},
      deadline,
    );
    return answer.caseOf({
      Left: () => false,
      Right: ({permitted}) => permitted,
    });
  }

  /** The start message, or undefined if this process must not send it. */
  private createStart(task: OwnedTask): TaskStart | undefined {
    const {clock, ownership, settings} = this.context;
    const authority = ownership.authority(task.group);
    if (!authority?.isHeld() || authority.epoch !== task.epoch) return;
    const {order} = task;
    if (!order || task.stopReason !== undefined) return;
    const remaining = authority.heldUntil() - clock.monotonicNow();
    const window = remaining - settings.clockSkewMilliseconds;
    if (window < MINIMUM_START_MILLISECONDS) return;
    const now = clock.wallNow();
    task.startNotAfter = Math.floor(now + window);
    task.leaseDeadline = now + settings.leaseMilliseconds;
    const entry = order.tasks.find(each => each.index === task.identity.index);
    const {team, service, kind, idempotent} = order;
    const {taskCount, demand, payload} = order;
    return {
      task: task.identity,
      epoch: task.epoch,
      coordinator: task.coordinator.toString(),
      team,
      service,
      kind,
      idempotent,
      taskCount,
      demand,
      payload,
      leaseDeadline: task.leaseDeadline,
      startNotAfter: task.startNotAfter,
      ...(entry?.checkpoint === undefined
        ? {}
        : {checkpoint: entry.checkpoint}),
    };
  }

  private async sendStart(
    task: OwnedTask,
    session: WorkerSession,
    start: TaskStart,
  ): Promise<void> {
    const {clock, health, metrics, settings} = this.context;
    task.workerIncarnation = session.incarnation;
    const deadline = clock.monotonicNow() + settings.commandMilliseconds;
    metrics.increment('starts.sent');
    health.recordStart(task.worker, task.spec.service);
    const answer = await session.client.start(start, deadline);
    // A watch may have reported the task or its end before this answer.
    if (task.stage !== 'starting') return;
    answer.caseOf({
      Right: () => this.onStarted(task),
      Left: error => this.onStartFailed(task, session, error),
    });
  }

  private onStarted(task: OwnedTask): void {
    this.transitions.markRunning(task);
    if (task.stopReason !== undefined) {
      this.stopper.stop(task, task.stopReason, false);
    }
  }

  private onStartFailed(
    task: OwnedTask,
    session: WorkerSession,
    error: TypedError,
  ): void {
    const provesNotStarted =
      error instanceof RefusedError || error instanceof UnavailableError;
    if (!provesNotStarted) {
      task.stage = 'in-doubt';
      void this.resolveInDoubt(task, session);
      return;
    }
    const {service} = task.spec;
    const outcome = {worker: task.worker, service, succeeded: false};
    this.context.health.recordOutcome(outcome);
    const refusals = task.refusedBy.length + 1;
    const isFinal = refusals >= this.context.settings.maximumRefusals;
    if (isFinal || task.stopReason !== undefined) {
      this.transitions.markNotStarted(task, error.message);
    } else {
      this.requeue(task);
    }
  }

  /**
   * Requests full task lists until one shows the task or proves that it did not
   * start.
   */
  private async resolveInDoubt(
    task: OwnedTask,
    session: WorkerSession,
  ): Promise<void> {
    const {clock} = this.context;
    while (task.stage === 'in-doubt' && !session.isClosed()) {
      session.requestFullRead();
      await clock.sleepUntil(
        clock.monotonicNow() + IN_DOUBT_PAUSE_MILLISECONDS,
      );
    }
  }

  private reject(task: OwnedTask, reason: string): void {
    if (task.stage === 'ended') return;
    this.transitions.markNotStarted(task, task.stopReason ?? reason);
  }
}
