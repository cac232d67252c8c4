import type {Clock} from '@cardamomfield/clock';
import {
  formatTaskIdentity,
  RESOURCE_NAMES,
  type ResourceVector,
  type TaskIdentity,
} from '@cardamomfield/types';
import type {Job} from './job.js';
import type {ScheduleDecision} from './schedule_decision.js';
import type {WorkerDefinition} from './worker_definition.js';

interface NaiveTask {
  worker: string;
  declared: ResourceVector;
  reserved: ResourceVector;
}

/** Sum of the reservations on a worker, and the number of its tasks. */
interface NaiveUsage {
  reserved: ResourceVector;
  tasks: number;
}

interface NaiveEntry {
  job: Job;
  pending: number[];
}

const ZERO_RESOURCES: ResourceVector = {
  processorMillicores: 0,
  memoryBytes: 0,
  accelerators: 0,
  slots: 0,
  connections: 0,
};

/**
 * A baseline for tests and measurements. It has one queue in order of arrival
 * and scans all workers for the first that fits. It has no classes, team
 * shares, preemption or earmarks.
 */
export class NaiveScheduler {
  private readonly workers = new Map<string, WorkerDefinition>();
  private readonly absent = new Set<string>();
  private readonly tasks = new Map<string, NaiveTask>();
  private readonly usageByWorker = new Map<string, NaiveUsage>();
  private queue: NaiveEntry[] = [];

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): NaiveScheduler {
    return new NaiveScheduler(clock);
  }

  get size(): number {
    return this.queue.length;
  }

  setWorker(definition: WorkerDefinition): void {
    this.workers.set(definition.name, definition);
    this.absent.delete(definition.name);
  }

  removeWorker(name: string): void {
    if (!this.workers.has(name)) return;
    this.absent.add(name);
    this.deleteIfUnused(name);
  }

  addRunningTask(
    worker: string,
    task: TaskIdentity,
    demand: ResourceVector,
  ): void {
    const name = formatTaskIdentity(task);
    if (this.tasks.has(name)) return;
    this.tasks.set(name, {worker, declared: demand, reserved: demand});
    this.adjustUsage(worker, demand, 1, 1);
  }

  enqueue(job: Job): void {
    const pending = [...(job.taskIndexes ?? Array(job.taskCount).keys())];
    this.queue.push({job, pending});
  }

  withdraw(key: string): void {
    this.queue = this.queue.filter(entry => entry.job.key !== key);
  }

  schedule(limit: number): ScheduleDecision[] {
    const decisions: ScheduleDecision[] = [];
    this.expire(decisions);
    for (const entry of this.queue) {
      while (entry.pending.length > 0 && decisions.length < limit) {
        const worker = this.firstFit(entry.job);
        if (!worker) break;
        const {key, attempt, demand} = entry.job;
        const task = {key, index: entry.pending.shift()!, attempt};
        this.addRunningTask(worker.name, task, demand);
        const {name, group} = worker;
        decisions.push({
          type: 'place',
          task,
          worker: name,
          group,
          job: entry.job,
        });
      }
      if (decisions.length >= limit) break;
    }
    this.queue = this.queue.filter(entry => entry.pending.length > 0);
    return decisions;
  }

  release(task: TaskIdentity): void {
    const name = formatTaskIdentity(task);
    const record = this.tasks.get(name);
    if (!record) return;
    this.tasks.delete(name);
    this.adjustUsage(record.worker, record.reserved, -1, -1);
    this.deleteIfUnused(record.worker);
  }

  applyUsage(task: TaskIdentity, usage: ResourceVector): void {
    const record = this.tasks.get(formatTaskIdentity(task));
    if (!record) return;
    const reserved = {...record.declared};
    for (const name of RESOURCE_NAMES) {
      reserved[name] = Math.max(reserved[name], usage[name]);
    }
    this.adjustUsage(record.worker, record.reserved, -1, 0);
    this.adjustUsage(record.worker, reserved, 1, 0);
    record.reserved = reserved;
  }

  /** Whether a task of the job fits on the worker. */
  fits(worker: WorkerDefinition, job: Job): boolean {
    if (this.absent.has(worker.name) || worker.state !== 'active') return false;
    if (worker.weight <= 0 || !worker.services.includes(job.service)) {
      return false;
    }
    if (job.excludedWorkers?.has(worker.name)) return false;
    const reserved = this.usageByWorker.get(worker.name)?.reserved;
    return RESOURCE_NAMES.every(name => {
      const usable = Math.floor(worker.capacity[name] * worker.weight);
      return job.demand[name] + (reserved?.[name] ?? 0) <= usable;
    });
  }

  allWorkers(): Iterable<WorkerDefinition> {
    return this.workers.values();
  }

  private firstFit(job: Job): WorkerDefinition | undefined {
    for (const worker of this.workers.values()) {
      if (this.fits(worker, job)) return worker;
    }
    return undefined;
  }

  private adjustUsage(
    worker: string,
    amounts: ResourceVector,
    sign: number,
    tasks: number,
  ): void {
    const usage = this.usageByWorker.get(worker) ?? {
      reserved: {...ZERO_RESOURCES},
      tasks: 0,
    };
    for (const name of RESOURCE_NAMES) {
      usage.reserved[name] += sign * amounts[name];
    }
    usage.tasks += tasks;
    this.usageByWorker.set(worker, usage);
  }

  private expire(decisions: ScheduleDecision[]): void {
    const now = this.clock.wallNow();
    const isExpired = (entry: NaiveEntry) => entry.job.deadline <= now;
    for (const {job, pending} of this.queue.filter(isExpired)) {
      const {key, attempt} = job;
      decisions.push({type: 'expire', key, attempt, taskIndexes: pending, job});
    }
    this.queue = this.queue.filter(entry => !isExpired(entry));
  }

  private deleteIfUnused(name: string): void {
    if (!this.absent.has(name)) return;
    if ((this.usageByWorker.get(name)?.tasks ?? 0) > 0) return;
    this.workers.delete(name);
    this.absent.delete(name);
  }
}
