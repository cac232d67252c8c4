import type {RandomSource} from '@cardamomfield/clock';
import {FitTree} from './fit_tree.js';
import {Vectors} from './vectors.js';
import type {WorkerRecord} from './worker_record.js';

/** Order of a tree: by available amount of one dimension, or by position. */
type TreeOrder = number | 'position';

/** Placeable workers of one availability zone. */
interface ZoneIndex {
  workers: Set<WorkerRecord>;
  /** Number of workers by group. */
  groups: Map<string, number>;
  trees: Map<TreeOrder, FitTree>;
}

/**
 * Placeable workers that offer one service, by availability zone. A tree for
 * an order is built when a policy first asks for it, so that dimensions that
 * never dominate cost nothing to maintain.
 */
export class ServiceIndex {
  /** Sum of the capacities of the workers. */
  readonly total = Vectors.zero();
  /** Grows whenever capacity may have become available. */
  version = 0;
  private readonly zones = new Map<string, ZoneIndex>();

  private constructor(private readonly random: RandomSource) {}

  static create(random: RandomSource): ServiceIndex {
    return new ServiceIndex(random);
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
    for (const tree of zone.trees.values()) tree.add(worker);
    Vectors.add(this.total, worker.capacity);
    this.version++;
  }

  /** Must be called before the worker's zone, group or capacity changes. */
  remove(worker: WorkerRecord): void {
    const zone = this.zoneOf(worker.zone);
    if (!zone.workers.delete(worker)) return;
    for (const tree of zone.trees.values()) tree.remove(worker);
    Vectors.subtract(this.total, worker.capacity);
    const inGroup = zone.groups.get(worker.group)! - 1;
    if (inGroup > 0) zone.groups.set(worker.group, inGroup);
    else zone.groups.delete(worker.group);
    if (zone.workers.size === 0) this.zones.delete(worker.zone);
  }

  /** Brings the trees up to date after the worker's availability changed. */
  update(worker: WorkerRecord): void {
    const zone = this.zones.get(worker.zone);
    if (!zone?.workers.has(worker)) return;
    for (const tree of zone.trees.values()) tree.update(worker);
  }

  /** The workers of a zone in the given order. */
  tree(zoneName: string, order: TreeOrder): FitTree {
    const zone = this.zoneOf(zoneName);
    const existing = zone.trees.get(order);
    if (existing) return existing;
    const tree = FitTree.create(
      order === 'position'
        ? worker => worker.position
        : worker => worker.available[order]!,
      this.random,
    );
    for (const worker of zone.workers) tree.add(worker);
    zone.trees.set(order, tree);
    return tree;
  }

  /** Groups of a zone that have placeable workers. */
  groupsOf(zoneName: string): ReadonlyMap<string, number> {
    return this.zoneOf(zoneName).groups;
  }

  private zoneOf(name: string): ZoneIndex {
    let zone = this.zones.get(name);
    if (!zone) {
      zone = {workers: new Set(), groups: new Map(), trees: new Map()};
      this.zones.set(name, zone);
    }
    return zone;
  }
}
