import type {WorkerSnapshot, WorkerTask} from '@cardamomfield/platform';
import {WorkKind} from '@cardamomfield/types';
import {OwnedTask} from './owned_task.js';
import type {OwnerContext} from './owner_context.js';
import type {TaskTransitions} from './task_transitions.js';
import type {TaskStopper} from './task_stopper.js';
import type {WorkerSession} from './worker_session.js';
import type {WorkerSessions} from './worker_sessions.js';

/** Reconciles the tracked tasks with the task lists reported by workers. */
export class SnapshotReconciler {
  private constructor(
    private readonly context: OwnerContext,
    private readonly sessions: WorkerSessions,
    private readonly transitions: TaskTransitions,
    private readonly stopper: TaskStopper,
  ) {}

  static create(
    context: OwnerContext,
    sessions: WorkerSessions,
    transitions: TaskTransitions,
    stopper: TaskStopper,
  ): SnapshotReconciler {
    return new SnapshotReconciler(context, sessions, transitions, stopper);
  }

  /**
   * Applies one task list. Only a full list also proves which tasks the worker
   * no longer has.
   */
  reconcile(
    session: WorkerSession,
    snapshot: WorkerSnapshot,
    read: {isFull: boolean; sentAt: number},
  ): void {
    // A list read before the claim took effect does not count as a full read:
    // the previous owner may still start tasks until then.
    const authority = this.context.ownership.authority(session.worker.rack);
    for (const found of snapshot.tasks) this.reconcileTask(session, found);
    if (!read.isFull || !authority) return;
    this.resolveAbsentTasks(session, snapshot, read.sentAt);
    this.sessions.recordFullRead(session);
  }

  private reconcileTask(session: WorkerSession, found: WorkerTask): void {
    const known = this.context.registry.find(found.task);
    if (!known) {
      this.recover(session, found);
      return;
    }
    if (known.stage === 'ended' || known.worker !== session.worker.name) {
      return;
    }
    if (found.phase !== 'running') {
      this.transitions.applyFinalPhase(known, found);
      return;
    }
    this.reconcileRunning(session, known, found);
  }

  private reconcileRunning(
    session: WorkerSession,
    known: OwnedTask,
    found: WorkerTask,
  ): void {
    known.workerIncarnation = session.incarnation;
    if (known.stage === 'starting' || known.stage === 'in-doubt') {
      this.transitions.markRunning(known);
      if (known.stopReason !== undefined) {
        this.stopper.stop(known, known.stopReason, false);
      }
    }
    if (found.usage) {
      this.context.scheduler.applyUsage(found.task, found.usage);
    }
  }

  /** Registers a task that an earlier owner started. */
  private recover(session: WorkerSession, found: WorkerTask): void {
    const {registry, scheduler, timeline} = this.context;
    const task = OwnedTask.fromWorker(found, {
      worker: session.worker.name,
      group: session.worker.rack,
      incarnation: session.incarnation ?? '',
    });
    registry.add(task);
    if (found.phase !== 'running') {
      this.transitions.applyFinalPhase(task, found);
      return;
    }
    const kind = WorkKind.safeParse(found.kind).data ?? 'batch';
    const {team, service, demand} = found;
    const info = {team, service, kind, declaredRunMilliseconds: 0};
    scheduler.addRunningTask(task.worker, found.task, demand, info);
    timeline.record('task.recovered', {
      key: found.task.key,
      worker: task.worker,
    });
    this.transitions.markRunning(task);
  }

  private resolveAbsentTasks(
    session: WorkerSession,
    snapshot: WorkerSnapshot,
    sentAt: number,
  ): void {
    const {registry} = this.context;
    const listed = new Set(
      snapshot.tasks.map(each => registry.find(each.task)),
    );
    for (const task of registry.ofWorker(session.worker.name)) {
      if (!listed.has(task)) this.resolveAbsentTask(task, snapshot, sentAt);
    }
  }

  /** Determines the state of a task that is absent from its worker's list. */
  private resolveAbsentTask(
    task: OwnedTask,
    snapshot: WorkerSnapshot,
    sentAt: number,
  ): void {
    const isSameIncarnation = task.workerIncarnation === snapshot.incarnation;
    if (task.stage === 'running' && sentAt > task.runningSince) {
      this.transitions.markLost(
        task,
        isSameIncarnation
          ? 'the worker no longer lists the task'
          : 'the worker restarted',
      );
      return;
    }
    // Until the start has expired, it may still arrive, even at a restarted
    // worker.
    if (task.stage !== 'in-doubt' || !this.isStartExpired(task, sentAt)) return;
    if (isSameIncarnation) {
      this.transitions.markNotStarted(
        task,
        'the start did not reach the worker',
      );
    } else {
      this.transitions.markLost(
        task,
        'the worker restarted before it answered',
      );
    }
  }

  /** Whether the start could no longer take effect when the read was sent. */
  private isStartExpired(task: OwnedTask, sentAt: number): boolean {
    const {clock, settings} = this.context;
    const wallOffset = clock.wallNow() - clock.monotonicNow();
    const sentAtWall = sentAt + wallOffset;
    return sentAtWall > task.startNotAfter + settings.clockSkewMilliseconds;
  }
}
