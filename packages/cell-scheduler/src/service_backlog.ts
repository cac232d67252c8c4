import type {StepSpecification} from '@cardamomfield/cell-model';
import {TeamBacklog} from './team_backlog.js';
import type {WorkerState} from './worker_state.js';

/**
 * Overdue tasks must need at least this share of the capacity for it to count
 * as full. A few tasks can also wait for other reasons, such as their size.
 */
const OVERDUE_SHARE = 0.01;

/**
 * Below this share in use a service is not full even if tasks wait, because
 * something other than capacity keeps them.
 */
const FULL_USE_SHARE = 0.5;

/** Capacity of one service and the work that waits for it, by team. */
export class ServiceBacklog {
  readonly teams = new Map<string, TeamBacklog>();
  private readonly workers: WorkerState[] = [];
  private freeMilliCores = 0;
  private milliCores = 0;
  private memoryMegabytes = 0;
  private freeMemoryMegabytes = 0;

  private constructor() {}

  static create(): ServiceBacklog {
    return new ServiceBacklog();
  }

  /** Adds the capacity of a usable worker. */
  addWorker(worker: WorkerState): void {
    const {milliCores, memoryMegabytes} = worker.description;
    this.workers.push(worker);
    this.milliCores += milliCores;
    this.memoryMegabytes += memoryMegabytes;
    this.freeMilliCores += Math.max(0, worker.freeMilliCores);
    this.freeMemoryMegabytes += Math.max(0, worker.freeMemoryMegabytes);
  }

  /** Whether one of the workers could run a task of the step if it were idle. */
  canHold({milliCores, memoryMegabytes}: StepSpecification): boolean {
    return this.workers.some(
      ({description}) =>
        description.milliCores >= milliCores &&
        description.memoryMegabytes >= memoryMegabytes,
    );
  }

  teamOf(name: string): TeamBacklog {
    const known = this.teams.get(name);
    if (known) return known;
    const created = TeamBacklog.create();
    this.teams.set(name, created);
    return created;
  }

  /** Millicores of all running tasks that will end. */
  get runningMilliCores(): number {
    let sum = 0;
    for (const team of this.teams.values()) sum += team.runningMilliCores;
    return sum;
  }

  /**
   * True when tasks wait because the capacity is in use. Tasks that wait for
   * the limit of their team do not count.
   */
  get isFull(): boolean {
    const freeShare = Math.min(
      this.freeMilliCores / Math.max(1, this.milliCores),
      this.freeMemoryMegabytes / Math.max(1, this.memoryMegabytes),
    );
    if (this.milliCores === 0 || freeShare > 1 - FULL_USE_SHARE) return false;
    let overdue = 0;
    for (const team of this.teams.values()) {
      if (!team.isAtLimit) overdue += team.overdueMilliCores;
    }
    return overdue > 0 && overdue >= this.milliCores * OVERDUE_SHARE;
  }

  /** Waiting work of all teams that is served before a new submission. */
  workAhead(team: string, priority: number): number {
    let sum = 0;
    for (const [name, backlog] of this.teams) {
      if (backlog.isAtLimit && name !== team) continue;
      sum += backlog.workAhead(priority);
    }
    return sum;
  }
}
