import type {TaskStart, WorkerClient} from '@cardamomfield/platform';
import {formatTaskIdentity} from '@cardamomfield/types';
import type {OwnedTask} from './owned_task.js';
import type {OwnerContext} from './owner_context.js';
import type {TaskTransitions} from './task_transitions.js';
import type {WorkerSessions} from './worker_sessions.js';

/** Pause after a stop that could not be confirmed. */
const RETRY_PAUSE_MILLISECONDS = 500;

type Checkpoint = TaskStart['checkpoint'];

interface Stop {
  task: OwnedTask;
  withCheckpoint: boolean;
}

/**
 * Stops running tasks, with a limited number of stops in flight. The
 * coordinator is notified only after the worker has confirmed that the task no
 * longer runs.
 */
export class TaskStopper {
  private readonly queue: Stop[] = [];
  private readonly pending = new Set<string>();
  private inFlight = 0;

  private constructor(
    private readonly context: OwnerContext,
    private readonly sessions: WorkerSessions,
    private readonly transitions: TaskTransitions,
  ) {}

  static create(
    context: OwnerContext,
    sessions: WorkerSessions,
    transitions: TaskTransitions,
  ): TaskStopper {
    return new TaskStopper(context, sessions, transitions);
  }

  /** Stops a task, with a checkpoint if the task is to resume elsewhere. */
  stop(task: OwnedTask, reason: string, withCheckpoint: boolean): void {
    task.stopReason ??= reason;
    // A task whose start is in flight can't be stopped yet. The stop is
    // requested again once the start is confirmed.
    if (task.stage !== 'running') return;
    const name = formatTaskIdentity(task.identity);
    if (this.pending.has(name)) return;
    this.pending.add(name);
    this.queue.push({task, withCheckpoint});
    this.startNext();
  }

  private startNext(): void {
    const {maximumStops} = this.context.settings;
    while (this.inFlight < maximumStops) {
      const next = this.queue.shift();
      if (!next) return;
      this.inFlight += 1;
      void this.execute(next);
    }
  }

  private async execute(stop: Stop): Promise<void> {
    const isDone = await this.tryStop(stop);
    this.inFlight -= 1;
    if (isDone) this.pending.delete(formatTaskIdentity(stop.task.identity));
    else void this.retryLater(stop);
    this.startNext();
  }

  private async retryLater(stop: Stop): Promise<void> {
    const {clock} = this.context;
    await clock.sleepUntil(clock.monotonicNow() + RETRY_PAUSE_MILLISECONDS);
    this.queue.push(stop);
    this.startNext();
  }

  /** Returns false if the stop must be retried. */
  private async tryStop({task, withCheckpoint}: Stop): Promise<boolean> {
    const {clock, ownership, settings} = this.context;
    if (task.stage !== 'running') return true;
    const session = this.sessions.find(task.worker);
    const authority = ownership.authority(task.group);
    if (!session || !authority) return true;
    if (!authority.isHeld()) return false;
    const checkpoint = withCheckpoint
      ? await this.saveCheckpoint(task, session.client)
      : undefined;
    if (task.stage !== 'running') return true;
    const deadline = clock.monotonicNow() + settings.commandMilliseconds;
    const stopped = await session.client.stop(task.identity, deadline);
    if (stopped.isLeft()) return false;
    // A watch may have reported the end meanwhile.
    if (task.stage === 'running') {
      this.transitions.markDisplaced(
        task,
        task.stopReason ?? 'stopped',
        checkpoint,
      );
    }
    return true;
  }

  private async saveCheckpoint(
    task: OwnedTask,
    client: WorkerClient,
  ): Promise<Checkpoint | undefined> {
    const {clock, settings} = this.context;
    const deadline = clock.monotonicNow() + settings.commandMilliseconds;
    const saved = await client.checkpoint(task.identity, deadline);
    return saved.toMaybe().extract() as Checkpoint | undefined;
  }
}
