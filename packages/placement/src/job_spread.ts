import type {WorkerRecord} from './worker_record.js';

type Counts = Map<string, number>;

/** Counts the tasks of one job by availability zone, group and worker. */
export class JobSpread {
  private readonly zones: Counts = new Map();
  private readonly groups: Counts = new Map();
  private readonly workers: Counts = new Map();

  private constructor() {}

  static create(): JobSpread {
    return new JobSpread();
  }

  add(worker: WorkerRecord): void {
    increment(this.zones, worker.zone);
    increment(this.groups, worker.group);
    increment(this.workers, worker.name);
  }

  inZone(zone: string): number {
    return this.zones.get(zone) ?? 0;
  }

  inGroup(group: string): number {
    return this.groups.get(group) ?? 0;
  }

  onWorker(worker: string): number {
    return this.workers.get(worker) ?? 0;
  }

  /** The lowest number of tasks in any of the groups. */
  fewestIn(groups: Iterable<string>): number {
    let fewest = Infinity;
    for (const group of groups) {
      fewest = Math.min(fewest, this.inGroup(group));
      if (fewest === 0) break;
    }
    return fewest;
  }
}

function increment(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}
