import type {TaskUpdate} from '@cardamomfield/peer-protocol';
import type {WorkerTask} from '@cardamomfield/platform';
import type {OwnedTask} from './owned_task.js';
import type {OwnerContext} from './owner_context.js';

type Stage = TaskUpdate['stage'];
type Fields<S extends Stage> = Omit<
  Extract<TaskUpdate, {stage: S}>,
  'stage' | 'task' | 'epoch'
>;

/** Ends tasks: frees the reservation, tells the coordinator, keeps the news. */
export class TaskTransitions {
  private constructor(private readonly context: OwnerContext) {}

  static create(context: OwnerContext): TaskTransitions {
    return new TaskTransitions(context);
  }

  /** Tells the coordinator that the task runs. */
  markRunning(task: OwnedTask): void {
    task.stage = 'running';
    task.runningSince = this.context.clock.monotonicNow();
    this.sendUpdate(
      task,
      this.createUpdate(task, 'running', {worker: task.worker}),
    );
  }

  /** The worker shows a final phase. */
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

  /** It is proved that the task did not start. */
  markNotStarted(task: OwnedTask, reason: string): void {
    this.end(task, this.createUpdate(task, 'not-started', {reason}));
  }

  /** The task was stopped on purpose and runs no longer. */
  markDisplaced(
    task: OwnedTask,
    reason: string,
    checkpoint?: Fields<'displaced'>['checkpoint'],
  ): void {
    const fields = {worker: task.worker, reason};
    const kept = checkpoint === undefined ? {} : {checkpoint};
    this.end(task, this.createUpdate(task, 'displaced', {...fields, ...kept}));
  }

  /** The task may have run and certainly runs no longer. */
  markLost(task: OwnedTask, reason: string): void {
    const fields = {worker: task.worker, reason};
    this.end(task, this.createUpdate(task, 'lost', fields));
  }

  /** This owner can no longer tell; a later owner will. */
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
