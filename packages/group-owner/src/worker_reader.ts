import type {WorkerSnapshot, WorkerTask} from '@cardamomfield/platform';
import {WorkKind} from '@cardamomfield/types';
import {OwnedTask} from './owned_task.js';
import type {OwnerContext} from './owner_context.js';
import type {TaskEnds} from './task_ends.js';
import type {TaskStopper} from './task_stopper.js';
import type {WorkerSession} from './worker_session.js';
import type {WorkerSessions} from './worker_sessions.js';

/** Takes the task lists of workers in. */
export class WorkerReader {
  private constructor(
    private readonly context: OwnerContext,
    private readonly sessions: WorkerSessions,
    private readonly ends: TaskEnds,
    private readonly stopper: TaskStopper,
  ) {}

  static create(
    context: OwnerContext,
    sessions: WorkerSessions,
    ends: TaskEnds,
    stopper: TaskStopper,
  ): WorkerReader {
    return new WorkerReader(context, sessions, ends, stopper);
  }

  /** Takes one list in; a full one also shows which tasks are gone. */
  take(
    session: WorkerSession,
    snapshot: WorkerSnapshot,
    read: {isFull: boolean; sentAt: number},
  ): void {
    // A list read before the claim took effect proves nothing about it.
    const authority = this.context.ownership.authority(session.worker.rack);
    for (const found of snapshot.tasks) this.takeTask(session, found);
    if (!read.isFull || !authority) return;
    this.settleAbsent(session, snapshot, read.sentAt);
    this.sessions.open(session);
  }

  private takeTask(session: WorkerSession, found: WorkerTask): void {
    const known = this.context.book.find(found.task);
    if (!known) {
      this.recover(session, found);
      return;
    }
    if (known.stage === 'ended' || known.worker !== session.worker.name) {
      return;
    }
    if (found.phase !== 'running') {
      this.ends.fromWorker(known, found);
      return;
    }
    this.takeRunning(session, known, found);
  }

  private takeRunning(
    session: WorkerSession,
    known: OwnedTask,
    found: WorkerTask,
  ): void {
    known.workerIncarnation = session.incarnation;
    if (known.stage === 'starting' || known.stage === 'in-doubt') {
      this.ends.running(known);
      if (known.stopReason !== undefined) {
        this.stopper.stop(known, known.stopReason, false);
      }
    }
    if (found.usage) {
      this.context.scheduler.correct(found.task, found.usage);
    }
  }

  /** Accounts for a task that an earlier owner started. */
  private recover(session: WorkerSession, found: WorkerTask): void {
    const {book, scheduler, timeline} = this.context;
    const task = OwnedTask.fromWorker(found, {
      worker: session.worker.name,
      group: session.worker.rack,
      incarnation: session.incarnation ?? '',
    });
    book.add(task);
    if (found.phase !== 'running') {
      this.ends.fromWorker(task, found);
      return;
    }
    const kind = WorkKind.safeParse(found.kind).data ?? 'batch';
    const {team, service, demand} = found;
    const info = {team, service, kind, declaredRunMilliseconds: 0};
    scheduler.occupy(task.worker, found.task, demand, info);
    timeline.record('task.recovered', {
      key: found.task.key,
      worker: task.worker,
    });
    this.ends.running(task);
  }

  private settleAbsent(
    session: WorkerSession,
    snapshot: WorkerSnapshot,
    sentAt: number,
  ): void {
    const {book} = this.context;
    const listed = new Set(snapshot.tasks.map(each => book.find(each.task)));
    for (const task of book.ofWorker(session.worker.name)) {
      if (!listed.has(task)) this.settle(task, snapshot, sentAt);
    }
  }

  /** Decides about one task that its worker does not list. */
  private settle(
    task: OwnedTask,
    snapshot: WorkerSnapshot,
    sentAt: number,
  ): void {
    const isSameWorker = task.workerIncarnation === snapshot.incarnation;
    if (task.stage === 'running' && sentAt > task.runningSince) {
      this.ends.lost(
        task,
        isSameWorker
          ? 'the worker no longer lists the task'
          : 'the worker restarted',
      );
      return;
    }
    // Until then a start may still arrive, at a restarted worker as well.
    if (task.stage !== 'in-doubt' || !this.isStartOver(task, sentAt)) return;
    if (isSameWorker) {
      this.ends.notStarted(task, 'the start did not reach the worker');
    } else {
      this.ends.lost(task, 'the worker restarted before it answered');
    }
  }

  /** Whether the read was sent when the start could no longer take effect. */
  private isStartOver(task: OwnedTask, sentAt: number): boolean {
    const {clock, settings} = this.context;
    const wallOffset = clock.wallNow() - clock.monotonicNow();
    const sentAtWall = sentAt + wallOffset;
    return sentAtWall > task.startNotAfter + settings.clockSkewMilliseconds;
  }
}
