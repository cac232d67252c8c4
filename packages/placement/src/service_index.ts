import {FitBuckets} from './fit_buckets.js';
import type {Vector} from './vector.js';
import {Vectors} from './vectors.js';
import type {WorkerRecord} from './worker_record.js';

/** An order of workers: by available amount of one dimension, or by position. */
type WorkerOrder = number | 'position';

/** Placeable workers of one availability zone. */
interface ZoneIndex {
  workers: Set<WorkerRecord>;
  /** Number of workers by group. */
  groups: Map<string, number>;
  orders: Map<WorkerOrder, FitBuckets>;
}

/**
 * Buckets of one order. With the 3,100 workers that are planned, a bucket
 * holds a dozen on average.
 */
const BUCKETS = 256;
const ZONE_BUCKETS = 32;

/** Freed workers that are remembered; older ones cost a full search. */
const FREED_LIMIT = 256;

/**
 * Placeable workers that offer one service, by availability zone. The
 * buckets of an order are built when a policy first asks for it, so that dimensions that
 * never dominate cost nothing to maintain.
 */
export class ServiceIndex {
  /** Sum of the capacities of the workers. */
  readonly total = Vectors.zero();
  /** Sum of what the workers have available. */
  readonly available = Vectors.zero();
  private readonly zones = new Map<string, ZoneIndex>();
  /** Orders over the workers of all zones. */
  private readonly orders = new Map<WorkerOrder, FitBuckets>();
  /** The last workers whose availability grew, oldest first. */
  private freed: WorkerRecord[] = [];
  private forgotten = 0;

  private constructor() {}

  static create(): ServiceIndex {
    return new ServiceIndex();
  }

  /** Grows whenever capacity may have become available. */
  get version(): number {
    return this.forgotten + this.freed.length;
  }

  /** Notes that the availability of a worker may have grown. */
  noteFreed(worker: WorkerRecord): void {
    this.freed.push(worker);
    if (this.freed.length <= FREED_LIMIT) return;
    this.forgotten += FREED_LIMIT >> 1;
    this.freed = this.freed.slice(FREED_LIMIT >> 1);
  }

  /**
   * Whether the demand may fit on a worker that was freed after the given
   * version; true also when that is no longer known.
   */
  mayFitSince(version: number, demand: Vector): boolean {
    if (version < this.forgotten) return true;
    for (let i = version - this.forgotten; i < this.freed.length; i++) {
      if (Vectors.fits(demand, this.freed[i]!.available)) return true;
    }
    return false;
  }

  get zoneNames(): Iterable<string> {
    return this.zones.keys();
  }

  *workers(): Iterable<WorkerRecord> {
    for (const zone of this.zones.values()) yield* zone.workers;
  }

  get size(): number {
    let size = 0;
    for (const zone of this.zones.values()) size += zone.workers.size;
    return size;
  }

  add(worker: WorkerRecord): void {
    const zone = this.zoneOf(worker.zone);
    zone.workers.add(worker);
    zone.groups.set(worker.group, (zone.groups.get(worker.group) ?? 0) + 1);
    for (const order of zone.orders.values()) order.add(worker);
    for (const order of this.orders.values()) order.add(worker);
    Vectors.add(this.total, worker.capacity);
    Vectors.add(this.available, worker.available);
    this.noteFreed(worker);
  }

  /** Must be called before the worker's zone, group or capacity changes. */
  remove(worker: WorkerRecord): void {
    const zone = this.zoneOf(worker.zone);
    if (!zone.workers.delete(worker)) return;
    for (const order of zone.orders.values()) order.remove(worker);
    for (const order of this.orders.values()) order.remove(worker);
    Vectors.subtract(this.total, worker.capacity);
    Vectors.subtract(this.available, worker.available);
    const inGroup = zone.groups.get(worker.group)! - 1;
    if (inGroup > 0) zone.groups.set(worker.group, inGroup);
    else zone.groups.delete(worker.group);
    if (zone.workers.size === 0) this.zones.delete(worker.zone);
  }

  /** Brings the orders up to date after the worker's availability changed. */
  update(worker: WorkerRecord): void {
    const zone = this.zones.get(worker.zone);
    if (!zone?.workers.has(worker)) return;
    Vectors.add(this.available, worker.available);
    Vectors.subtract(this.available, worker.previous);
    for (const order of zone.orders.values()) order.update(worker);
    for (const order of this.orders.values()) order.update(worker);
  }

  /** All workers in the given order. */
  order(order: WorkerOrder): FitBuckets {
    return this.orderIn(this.orders, order, this.workers(), BUCKETS);
  }

  /** The workers of a zone in the given order. */
  zoneOrder(zoneName: string, order: WorkerOrder): FitBuckets {
    const zone = this.zoneOf(zoneName);
    return this.orderIn(zone.orders, order, zone.workers, ZONE_BUCKETS);
  }

  /** Groups of a zone that have placeable workers. */
  groupsOf(zoneName: string): ReadonlyMap<string, number> {
    return this.zoneOf(zoneName).groups;
  }

  private orderIn(
    orders: Map<WorkerOrder, FitBuckets>,
    order: WorkerOrder,
    workers: Iterable<WorkerRecord>,
    count: number,
  ): FitBuckets {
    const existing = orders.get(order);
    if (existing) return existing;
    const created = FitBuckets.create(
      order === 'position'
        ? worker => worker.position
        : worker => worker.available[order]!,
      count,
    );
    for (const worker of workers) created.add(worker);
    orders.set(order, created);
    return created;
  }

  private zoneOf(name: string): ZoneIndex {
    let zone = this.zones.get(name);
    if (!zone) {
      zone = {workers: new Set(), groups: new Map(), orders: new Map()};
      this.zones.set(name, zone);
    }
    return zone;
  }
}
