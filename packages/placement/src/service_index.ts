import {WorkerBuckets} from './worker_buckets.js';
import type {Vector} from './vector.js';
import {Vectors} from './vectors.js';
import type {WorkerRecord} from './worker_record.js';

/** Order by the available amount of a dimension, or by position. */
type WorkerOrder = number | 'position';

/** Placeable workers of one availability zone. */
interface ZoneIndex {
  workers: Set<WorkerRecord>;
  /** Number of workers by group. */
  groups: Map<string, number>;
  orders: Map<WorkerOrder, WorkerBuckets>;
}

/**
 * Number of buckets in an order over all zones. With the 3,100 workers that
 * are planned, a bucket holds 12 on average.
 */
const BUCKET_COUNT = 256;
const ZONE_BUCKET_COUNT = 32;

/**
 * Maximum number of recently freed workers to retain. For versions older than
 * these, `mayFitSince` returns true, which costs a full search.
 */
const MAXIMUM_FREED_WORKERS = 256;

/**
 * Placeable workers that offer one service, by availability zone. The buckets
 * of an order are built when a policy first requests it, so that dimensions
 * that are never dominant cost no maintenance.
 */
export class ServiceIndex {
  /** Sum of the capacities of the workers. */
  readonly total = Vectors.zero();
  /** Sum of the available amounts of the workers. */
  readonly available = Vectors.zero();
  private readonly zones = new Map<string, ZoneIndex>();
  /** Orders over the workers of all zones. */
  private readonly orders = new Map<WorkerOrder, WorkerBuckets>();
  /** The most recent workers whose availability grew, oldest first. */
  private freedWorkers: WorkerRecord[] = [];
  private discardedCount = 0;

  private constructor() {}

  static create(): ServiceIndex {
    return new ServiceIndex();
  }

  /** Increases whenever capacity may have become available. */
  get version(): number {
    return this.discardedCount + this.freedWorkers.length;
  }

  /** Records that the availability of a worker may have grown. */
  recordFreed(worker: WorkerRecord): void {
    this.freedWorkers.push(worker);
    if (this.freedWorkers.length <= MAXIMUM_FREED_WORKERS) return;
    this.discardedCount += MAXIMUM_FREED_WORKERS >> 1;
    this.freedWorkers = this.freedWorkers.slice(MAXIMUM_FREED_WORKERS >> 1);
  }

  /**
   * Whether the demand may fit on a worker that was freed after the given
   * version; also true when the freed workers since then are not all retained.
   */
  mayFitSince(version: number, demand: Vector): boolean {
    if (version < this.discardedCount) return true;
    for (
      let i = version - this.discardedCount;
      i < this.freedWorkers.length;
      i++
    ) {
      if (Vectors.fits(demand, this.freedWorkers[i]!.available)) return true;
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
    const zone = this.getOrCreateZone(worker.zone);
    zone.workers.add(worker);
    zone.groups.set(worker.group, (zone.groups.get(worker.group) ?? 0) + 1);
    for (const order of zone.orders.values()) order.add(worker);
    for (const order of this.orders.values()) order.add(worker);
    Vectors.add(this.total, worker.capacity);
    Vectors.add(this.available, worker.available);
    this.recordFreed(worker);
  }

  /** Must be called before the worker's zone, group or capacity changes. */
  remove(worker: WorkerRecord): void {
    const zone = this.getOrCreateZone(worker.zone);
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

  /** Updates the orders after the worker's availability has changed. */
  update(worker: WorkerRecord): void {
    const zone = this.zones.get(worker.zone);
    if (!zone?.workers.has(worker)) return;
    Vectors.add(this.available, worker.available);
    Vectors.subtract(this.available, worker.previousAvailable);
    for (const order of zone.orders.values()) order.update(worker);
    for (const order of this.orders.values()) order.update(worker);
  }

  /** All workers in the given order. */
  order(order: WorkerOrder): WorkerBuckets {
    return this.getOrCreateOrder(
      this.orders,
      order,
      this.workers(),
      BUCKET_COUNT,
    );
  }

  /** The workers of a zone in the given order. */
  zoneOrder(zoneName: string, order: WorkerOrder): WorkerBuckets {
    const zone = this.getOrCreateZone(zoneName);
    return this.getOrCreateOrder(
      zone.orders,
      order,
      zone.workers,
      ZONE_BUCKET_COUNT,
    );
  }

  /** Groups of a zone that have placeable workers. */
  groupsOf(zoneName: string): ReadonlyMap<string, number> {
    return this.getOrCreateZone(zoneName).groups;
  }

  private getOrCreateOrder(
    orders: Map<WorkerOrder, WorkerBuckets>,
    order: WorkerOrder,
    workers: Iterable<WorkerRecord>,
    bucketCount: number,
  ): WorkerBuckets {
    const existing = orders.get(order);
    if (existing) return existing;
    const created = WorkerBuckets.create(
      order === 'position'
        ? worker => worker.position
        : worker => worker.available[order]!,
      bucketCount,
    );
    for (const worker of workers) created.add(worker);
    orders.set(order, created);
    return created;
  }

  private getOrCreateZone(name: string): ZoneIndex {
    let zone = this.zones.get(name);
    if (!zone) {
      zone = {workers: new Set(), groups: new Map(), orders: new Map()};
      this.zones.set(name, zone);
    }
    return zone;
  }
}
