import {formatTaskIdentity, type TaskIdentity} from '@cardamomfield/types';
import type {OwnedTask} from './owned_task.js';

/** All tasks of this owner, indexed by identity, request key and worker. */
export class TaskRegistry {
  private readonly byIdentity = new Map<string, OwnedTask>();
  private readonly byKey = new Map<string, Set<OwnedTask>>();
  private readonly byWorker = new Map<string, Set<OwnedTask>>();
  /** Ended tasks in the order in which they ended. */
  private readonly ended = new Set<OwnedTask>();

  private constructor() {}

  static create(): TaskRegistry {
    return new TaskRegistry();
  }

  find(identity: TaskIdentity): OwnedTask | undefined {
    return this.byIdentity.get(formatTaskIdentity(identity));
  }

  ofKey(key: string): readonly OwnedTask[] {
    return [...(this.byKey.get(key) ?? [])];
  }

  ofWorker(worker: string): readonly OwnedTask[] {
    return [...(this.byWorker.get(worker) ?? [])];
  }

  all(): Iterable<OwnedTask> {
    return this.byIdentity.values();
  }

  add(task: OwnedTask): void {
    this.byIdentity.set(formatTaskIdentity(task.identity), task);
    addTo(this.byKey, task.identity.key, task);
    if (task.worker !== '') addTo(this.byWorker, task.worker, task);
  }

  /** Sets the worker of the task; an empty name removes the assignment. */
  assign(task: OwnedTask, worker: string, group: string): void {
    removeFrom(this.byWorker, task.worker, task);
    task.worker = worker;
    task.group = group;
    if (worker !== '') addTo(this.byWorker, worker, task);
  }

  /**
   * Marks the task as ended. It is kept until `evictAt` for queries of
   * coordinators.
   */
  markEnded(task: OwnedTask, evictAt: number): void {
    task.stage = 'ended';
    task.evictAt = evictAt;
    removeFrom(this.byWorker, task.worker, task);
    this.ended.add(task);
  }

  remove(task: OwnedTask): void {
    this.byIdentity.delete(formatTaskIdentity(task.identity));
    removeFrom(this.byKey, task.identity.key, task);
    removeFrom(this.byWorker, task.worker, task);
    this.ended.delete(task);
  }

  /** Removes ended tasks whose retention period is over. */
  evictEnded(monotonicNow: number): void {
    for (const task of this.ended) {
      if ((task.evictAt ?? 0) > monotonicNow) return;
      this.remove(task);
    }
  }
}

function addTo(
  index: Map<string, Set<OwnedTask>>,
  name: string,
  task: OwnedTask,
): void {
  const tasks = index.get(name);
  if (tasks) tasks.add(task);
  else index.set(name, new Set([task]));
}

function removeFrom(
  index: Map<string, Set<OwnedTask>>,
  name: string,
  task: OwnedTask,
): void {
  const tasks = index.get(name);
  if (!tasks?.delete(task)) return;
  if (tasks.size === 0) index.delete(name);
}
