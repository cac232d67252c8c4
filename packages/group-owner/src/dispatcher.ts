import {
  RefusedError,
  type TypedError,
  UnavailableError,
} from '@cardamomfield/errors';
import {PERMIT_DISPATCH} from '@cardamomfield/peer-protocol';
import type {TaskStart} from '@cardamomfield/platform';
import type {OwnedTask} from './owned_task.js';
import type {OwnerContext} from './owner_context.js';
import type {TaskEnds} from './task_ends.js';
import type {TaskStopper} from './task_stopper.js';
import type {WorkerSession} from './worker_session.js';
import type {WorkerSessions} from './worker_sessions.js';

/** Shortest time left for a start to reach its worker. */
const MINIMUM_START_MILLISECONDS = 100;

/** Pause between two looks for a task whose start was not answered. */
const DOUBT_PAUSE_MILLISECONDS = 300;

/** Carries out placements: from the decision to a running task. */
export class Dispatcher {
  private constructor(
    private readonly context: OwnerContext,
    private readonly sessions: WorkerSessions,
    private readonly ends: TaskEnds,
    private readonly stopper: TaskStopper,
    private readonly requeue: (task: OwnedTask) => void,
  ) {}

  static create(
    context: OwnerContext,
    sessions: WorkerSessions,
    ends: TaskEnds,
    stopper: TaskStopper,
    requeue: (task: OwnedTask) => void,
  ): Dispatcher {
    return new Dispatcher(context, sessions, ends, stopper, requeue);
  }

  /** Starts a task on the worker that the scheduler has reserved. */
  async dispatch(task: OwnedTask): Promise<void> {
    const session = this.sessions.find(task.worker);
    const authority = this.context.ownership.authority(task.group);
    if (!session || !authority) return this.giveBack(task, 'group lost');
    task.stage = 'starting';
    task.epoch = authority.epoch;
    if (!(await this.isPermitted(task))) {
      return this.ends.notStarted(task, 'the coordinator gave no permit');
    }
    // The permit took a while: the authority may be over by now.
    const start = this.createStart(task);
    if (!start) return this.giveBack(task, 'authority is not held');
    await this.send(task, session, start);
  }

  private async isPermitted(task: OwnedTask): Promise<boolean> {
    if (task.facts.idempotent) return true;
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

  /** The start message, or undefined when this process may not send it. */
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

  private async send(
    task: OwnedTask,
    session: WorkerSession,
    start: TaskStart,
  ): Promise<void> {
    const {clock, health, metrics, settings} = this.context;
    task.workerIncarnation = session.incarnation;
    const deadline = clock.monotonicNow() + settings.commandMilliseconds;
    metrics.increment('starts.sent');
    health.recordStart(task.worker, task.facts.service);
    const answer = await session.client.start(start, deadline);
    // A watch may have shown the task, or its end, before this answer.
    if (task.stage !== 'starting') return;
    answer.caseOf({
      Right: () => this.started(task),
      Left: error => this.failed(task, session, error),
    });
  }

  private started(task: OwnedTask): void {
    this.ends.running(task);
    if (task.stopReason !== undefined) {
      this.stopper.stop(task, task.stopReason, false);
    }
  }

  private failed(
    task: OwnedTask,
    session: WorkerSession,
    error: TypedError,
  ): void {
    const isProved =
      error instanceof RefusedError || error instanceof UnavailableError;
    if (!isProved) {
      task.stage = 'in-doubt';
      void this.resolveDoubt(task, session);
      return;
    }
    const {service} = task.facts;
    const outcome = {worker: task.worker, service, succeeded: false};
    this.context.health.recordOutcome(outcome);
    const refusals = task.refusedBy.length + 1;
    const isFinal = refusals >= this.context.settings.maximumRefusals;
    if (isFinal || task.stopReason !== undefined) {
      this.ends.notStarted(task, error.message);
    } else {
      this.requeue(task);
    }
  }

  /** Asks for full lists until one shows the task or disproves the start. */
  private async resolveDoubt(
    task: OwnedTask,
    session: WorkerSession,
  ): Promise<void> {
    const {clock} = this.context;
    while (task.stage === 'in-doubt' && !session.isClosed()) {
      session.requestFullRead();
      await clock.sleepUntil(clock.monotonicNow() + DOUBT_PAUSE_MILLISECONDS);
    }
  }

  private giveBack(task: OwnedTask, reason: string): void {
    if (task.stage === 'ended') return;
    this.ends.notStarted(task, task.stopReason ?? reason);
  }
}
