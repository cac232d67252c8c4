import type {TaskUpdate} from '@cardamomfield/peer-protocol';
import type {WorkerTask} from '@cardamomfield/platform';
import type {OwnedTask} from './owned_task.js';
import type {OwnerContext} from './owner_context.js';

type Stage = TaskUpdate['stage'];
type Fields<S extends Stage> = Omit<
  Extract<TaskUpdate, {stage: S}>,
  'stage' | 'task' | 'epoch'
>;

/**
 * Changes the stage of tasks and notifies their coordinators. The end of a task
 * also releases its reservation. The latest update is kept for later queries.
 */
export class TaskTransitions {
  private constructor(private readonly context: OwnerContext) {}

  static create(context: OwnerContext): TaskTransitions {
    return new TaskTransitions(context);
  }

  /** The task is known to run on its worker. */
  markRunning(task: OwnedTask): void {
    task.stage = 'running';
    task.runningSince = this.context.clock.monotonicNow();
    this.sendUpdate(
      task,
      this.createUpdate(task, 'running', {worker: task.worker}),
    );
  }

  /** The worker reported a final phase of the task. */
  applyFinalPhase(task: OwnedTask, found: WorkerTask): void {
    const {health} = this.context;
    if (found.phase === 'stopped' && task.stopReason !== undefined) {
      this.markDisplaced(task, task.stopReason);
      return;
    }
    const succeeded = found.phase === 'succeeded';
    const {service} = task.spec;
    health.recordOutcome({worker: task.worker, service, succeeded});
    const value = found.value ?? (succeeded ? null : {ended: found.phase});
    const fields = {worker: task.worker, succeeded, value};
    this.end(task, this.createUpdate(task, 'ended', fields));
  }

  /** The task provably did not start. */
  markNotStarted(task: OwnedTask, reason: string): void {
    this.end(task, this.createUpdate(task, 'not-started', {reason}));
  }

  /** The task was stopped intentionally and no longer runs. */
  markDisplaced(
    task: OwnedTask,
    reason: string,
    checkpoint?: Fields<'displaced'>['checkpoint'],
  ): void {
    const fields = {worker: task.worker, reason};
    const kept = checkpoint === undefined ? {} : {checkpoint};
    this.end(task, this.createUpdate(task, 'displaced', {...fields, ...kept}));
  }

  /** The task may have run and certainly no longer runs. */
  markLost(task: OwnedTask, reason: string): void {
    const fields = {worker: task.worker, reason};
    this.end(task, this.createUpdate(task, 'lost', fields));
  }

  /**
   * Reports the task as in doubt and stops tracking it. The next owner of its
   * group determines its state.
   */
  abandon(task: OwnedTask, reason: string): void {
    const {registry, scheduler} = this.context;
    const fields = {worker: task.worker, reason};
    this.sendUpdate(task, this.createUpdate(task, 'in-doubt', fields));
    scheduler.release(task.identity);
    registry.remove(task);
  }

  private end(task: OwnedTask, update: TaskUpdate): void {
    const {registry, clock, scheduler, settings, workNotifier} = this.context;
    scheduler.release(task.identity);
    registry.markEnded(
      task,
      clock.monotonicNow() + settings.retentionMilliseconds,
    );
    this.sendUpdate(task, update);
    workNotifier.notify();
  }

  private sendUpdate(task: OwnedTask, update: TaskUpdate): void {
    task.update = update;
    this.context.updates.send(task.coordinator.name, update);
  }

  private createUpdate<S extends Stage>(
    task: OwnedTask,
    stage: S,
    fields: Fields<S>,
  ): TaskUpdate {
    const base = {task: task.identity, epoch: task.epoch};
    return {...base, stage, ...fields} as unknown as TaskUpdate;
  }
}
