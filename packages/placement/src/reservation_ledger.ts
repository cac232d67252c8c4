import {formatTaskIdentity, type TaskIdentity} from '@cardamomfield/types';
import {ServiceIndex} from './service_index.js';
import type {TaskInfo} from './task_info.js';
import type {TaskRecord} from './task_record.js';
import type {Vector} from './vector.js';
import {Vectors} from './vectors.js';
import type {WorkerDefinition} from './worker_definition.js';
import {WorkerRecord} from './worker_record.js';

/**
 * All workers of an owner with their reservations, and the indexes over the
 * workers. All changes of a reservation go through this class, which keeps the
 * sums and the indexes consistent.
 */
export class ReservationLedger {
  /** Sum of the capacities of all present workers. */
  readonly total = Vectors.zero();
  private readonly workers = new Map<string, WorkerRecord>();
  private readonly groups = new Map<string, Set<WorkerRecord>>();
  private readonly tasks = new Map<string, TaskRecord>();
  private readonly indexes = new Map<string, ServiceIndex>();
  private readonly tasksByKey = new Map<string, Set<TaskRecord>>();
  private nextPosition = 0;

  private constructor() {}

  static create(): ReservationLedger {
    return new ReservationLedger();
  }

  worker(name: string): WorkerRecord | undefined {
    return this.workers.get(name);
  }

  allWorkers(): Iterable<WorkerRecord> {
    return this.workers.values();
  }

  groupNames(): Iterable<string> {
    return this.groups.keys();
  }

  /** The present workers of a group. */
  workersOf(group: string): Iterable<WorkerRecord> {
    return this.groups.get(group) ?? [];
  }

  task(identity: TaskIdentity): TaskRecord | undefined {
    return this.tasks.get(formatTaskIdentity(identity));
  }

  allTasks(): Iterable<TaskRecord> {
    return this.tasks.values();
  }

  /** Tasks of a request that hold reservations. */
  tasksOf(key: string): Iterable<TaskRecord> {
    return this.tasksByKey.get(key) ?? [];
  }

  /** The workers that offer a service; empty when none does. */
  index(service: string): ServiceIndex {
    let index = this.indexes.get(service);
    if (!index) {
      index = ServiceIndex.create();
      this.indexes.set(service, index);
    }
    return index;
  }

  setWorker(definition: WorkerDefinition): void {
    const existing = this.workers.get(definition.name);
    if (!existing) {
      const created = WorkerRecord.create(definition, this.nextPosition++);
      this.workers.set(definition.name, created);
      this.addToIndexes(created);
      return;
    }
    this.removeFromIndexes(existing);
    existing.applyDefinition(definition);
    this.addToIndexes(existing);
  }

  /** The worker's record is kept until its last reservation is freed. */
  removeWorker(name: string): void {
    const worker = this.workers.get(name);
    if (!worker) return;
    this.removeFromIndexes(worker);
    worker.markAbsent();
    this.deleteIfUnused(worker);
  }

  /** The record of a worker; an unknown worker is added without capacity. */
  workerOrPlaceholder(name: string, service: string): WorkerRecord {
    const existing = this.workers.get(name);
    if (existing) return existing;
    const created = WorkerRecord.create(
      {
        name,
        group: '',
        region: '',
        availabilityZone: '',
        services: [service],
        capacity: Vectors.toResources(Vectors.zero()),
        state: 'leaving',
        weight: 0,
      },
      this.nextPosition++,
    );
    created.markAbsent();
    this.workers.set(name, created);
    return created;
  }

  addTask(
    identity: TaskIdentity,
    worker: WorkerRecord,
    demand: Vector,
    info: TaskInfo,
    now: number,
  ): TaskRecord {
    const record: TaskRecord = {
      identity,
      worker,
      info,
      declared: demand,
      reserved: demand,
      placedAt: now,
      isPreempting: false,
      isReclaimed: false,
    };
    const name = formatTaskIdentity(identity);
    this.tasks.set(name, record);
    worker.tasks.set(name, record);
    const sameKey = this.tasksByKey.get(identity.key);
    if (sameKey) sameKey.add(record);
    else this.tasksByKey.set(identity.key, new Set([record]));
    this.adjustTotals(record, Vectors.add);
    this.reindex(worker);
    return record;
  }

  removeTask(record: TaskRecord): void {
    const name = formatTaskIdentity(record.identity);
    const {worker} = record;
    this.tasks.delete(name);
    worker.tasks.delete(name);
    const sameKey = this.tasksByKey.get(record.identity.key)!;
    sameKey.delete(record);
    if (sameKey.size === 0) this.tasksByKey.delete(record.identity.key);
    this.adjustTotals(record, Vectors.subtract);
    this.reindexFreed(worker);
    this.deleteIfUnused(worker);
  }

  /** Changes the reservation of a task, which may overcommit its worker. */
  resizeTask(record: TaskRecord, reserved: Vector): void {
    this.adjustTotals(record, Vectors.subtract);
    record.reserved = reserved;
    this.adjustTotals(record, Vectors.add);
    this.reindexFreed(record.worker);
  }

  /**
   * Marks a task as preempted: its reservation counts as about to be freed.
   */
  markPreempting(record: TaskRecord): void {
    if (record.isPreempting) return;
    this.adjustTotals(record, Vectors.subtract);
    record.isPreempting = true;
    this.adjustTotals(record, Vectors.add);
    this.reindexFreed(record.worker);
  }

  /** Reserves an amount that is not assigned to a task yet. */
  addHold(worker: WorkerRecord, amount: Vector): void {
    Vectors.add(worker.reserved, amount);
    this.reindex(worker);
  }

  removeHold(worker: WorkerRecord, amount: Vector): void {
    Vectors.subtract(worker.reserved, amount);
    this.reindexFreed(worker);
    this.deleteIfUnused(worker);
  }

  /** Sets aside an amount of a worker for a blocked task. */
  addEarmark(worker: WorkerRecord, amount: Vector): void {
    Vectors.add(worker.earmarked, amount);
    this.reindex(worker);
  }

  removeEarmark(worker: WorkerRecord, amount: Vector): void {
    Vectors.subtract(worker.earmarked, amount);
    this.reindex(worker);
  }

  /**
   * Records in the indexes of the worker's services that its availability may
   * have grown, so that blocked jobs are tried again.
   */
  recordFreed(worker: WorkerRecord): void {
    for (const service of worker.definition.services) {
      this.index(service).recordFreed(worker);
    }
  }

  private adjustTotals(
    record: TaskRecord,
    change: (target: Vector, amounts: Vector) => void,
  ): void {
    const {worker, reserved, info} = record;
    change(worker.reserved, reserved);
    if (record.isPreempting) change(worker.preempting, reserved);
    else if (info.kind === 'batch') change(worker.preemptible, reserved);
    if (info.kind === 'service') change(worker.serviceReserved, reserved);
  }

  private addToIndexes(worker: WorkerRecord): void {
    Vectors.add(this.total, worker.capacity);
    const group = this.groups.get(worker.group);
    if (group) group.add(worker);
    else this.groups.set(worker.group, new Set([worker]));
    if (!worker.isPlaceable) return;
    for (const service of worker.definition.services) {
      this.index(service).add(worker);
    }
  }

  private removeFromIndexes(worker: WorkerRecord): void {
    if (!worker.isPresent) return;
    Vectors.subtract(this.total, worker.capacity);
    const group = this.groups.get(worker.group)!;
    group.delete(worker);
    if (group.size === 0) this.groups.delete(worker.group);
    if (!worker.isPlaceable) return;
    for (const service of worker.definition.services) {
      this.index(service).remove(worker);
    }
  }

  private reindex(worker: WorkerRecord): void {
    worker.refresh();
    if (!worker.isPlaceable) return;
    for (const service of worker.definition.services) {
      this.index(service).update(worker);
    }
  }

  private reindexFreed(worker: WorkerRecord): void {
    this.reindex(worker);
    this.recordFreed(worker);
  }

  private deleteIfUnused(worker: WorkerRecord): void {
    if (worker.isPresent || worker.tasks.size > 0) return;
    if (worker.reserved.some(amount => amount > 0)) return;
    this.workers.delete(worker.name);
  }
}
