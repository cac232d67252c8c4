import type {Vector} from './vector.js';
import {Vectors} from './vectors.js';
import type {WorkerRecord} from './worker_record.js';

interface Entry {
  worker: WorkerRecord;
  key: number;
  bucket: Bucket | undefined;
  /** Place in the bucket. */
  place: number;
}

interface Bucket {
  entries: Entry[];
  /**
   * At least the most that any worker of the bucket has available, each
   * dimension on its own. Made exact by searches that find nothing.
   */
  most: Vector;
}

/** Returns true to end the walk. */
type Visitor = (worker: WorkerRecord) => boolean;

/**
 * Workers in the order of a key, in buckets of equal key ranges. An update
 * moves a worker between two buckets in constant time; a search skips buckets
 * in which a demand cannot fit. Balanced search trees were tried first: with
 * one update an order for each reservation and release, they spent three
 * quarters of the decision time on updates.
 */
export class FitBuckets {
  private readonly entries = new Map<WorkerRecord, Entry>();
  private buckets: Bucket[] = [];
  /** Key range of one bucket. */
  private width = 1;

  private constructor(
    private readonly keyOf: (worker: WorkerRecord) => number,
    private readonly count: number,
  ) {
    this.clear();
  }

  /** `count` is the number of buckets. */
  static create(
    keyOf: (worker: WorkerRecord) => number,
    count: number,
  ): FitBuckets {
    return new FitBuckets(keyOf, count);
  }

  add(worker: WorkerRecord): void {
    const entry = {worker, key: 0, bucket: undefined, place: 0};
    this.entries.set(worker, entry);
    this.insert(entry);
  }

  remove(worker: WorkerRecord): void {
    const entry = this.entries.get(worker);
    if (!entry) return;
    this.entries.delete(worker);
    takeOut(entry);
  }

  /** Follows a change of the worker's availability. */
  update(worker: WorkerRecord): void {
    const entry = this.entries.get(worker);
    if (!entry) return;
    const key = this.keyOf(worker);
    const bucket = this.bucketOf(key);
    if (bucket === undefined || bucket !== entry.bucket || cannotFit(worker)) {
      takeOut(entry);
      this.insert(entry);
      return;
    }
    entry.key = key;
    raise(bucket.most, worker.available);
  }

  /** Visits the workers on which the demand fits, by ascending key. */
  ascend(demand: Vector, lowestKey: number, visit: Visitor): void {
    const start = Math.max(0, Math.floor(lowestKey / this.width));
    for (let b = start; b < this.buckets.length; b++) {
      const bucket = this.buckets[b]!;
      if (bucket.entries.length === 0) continue;
      if (visitInOrder(bucket, demand, visit, isBefore)) return;
    }
  }

  /** Visits the workers on which the demand fits, by descending key. */
  descend(demand: Vector, visit: Visitor): void {
    for (let b = this.buckets.length - 1; b >= 0; b--) {
      const bucket = this.buckets[b]!;
      if (bucket.entries.length === 0) continue;
      if (visitInOrder(bucket, demand, visit, isAfter)) return;
    }
  }

  /**
   * The fitting worker with the highest value, which must not decrease when
   * any available amount grows. `accept` may exclude workers.
   */
  highest(
    demand: Vector,
    valueOf: (available: Vector) => number,
    accept: (worker: WorkerRecord) => boolean,
  ): WorkerRecord | undefined {
    let best: WorkerRecord | undefined;
    let highest = -Infinity;
    for (let b = this.buckets.length - 1; b >= 0; b--) {
      const {entries, most} = this.buckets[b]!;
      if (entries.length === 0 || !Vectors.fits(demand, most)) continue;
      if (valueOf(most) <= highest) continue;
      for (const {worker} of entries) {
        if (!Vectors.fits(demand, worker.available)) continue;
        const value = valueOf(worker.available);
        if (value <= highest || !accept(worker)) continue;
        best = worker;
        highest = value;
      }
    }
    return best;
  }

  private insert(entry: Entry): void {
    const {worker} = entry;
    if (cannotFit(worker)) return;
    entry.key = this.keyOf(worker);
    const bucket = this.bucketOf(entry.key);
    if (!bucket) {
      this.rebuild(entry.key);
      return;
    }
    entry.bucket = bucket;
    entry.place = bucket.entries.length;
    bucket.entries.push(entry);
    raise(bucket.most, worker.available);
  }

  /** The bucket of a key, or nothing when the key is above all ranges. */
  private bucketOf(key: number): Bucket | undefined {
    return this.buckets[Math.floor(Math.max(0, key) / this.width)];
  }

  /** Widens the buckets until the key has one. */
  private rebuild(key: number): void {
    while (Math.floor(key / this.width) >= this.count) this.width *= 2;
    this.clear();
    for (const entry of this.entries.values()) {
      entry.bucket = undefined;
      this.insert(entry);
    }
  }

  private clear(): void {
    this.buckets = Array.from({length: this.count}, () => ({
      entries: [],
      most: Vectors.zero(),
    }));
  }
}

/** An overcommitted worker fits no demand, not even an empty one. */
function cannotFit(worker: WorkerRecord): boolean {
  const {available} = worker;
  for (let d = 0; d < available.length; d++) {
    if (available[d]! < 0) return true;
  }
  return false;
}

function takeOut(entry: Entry): void {
  const {bucket} = entry;
  if (!bucket) return;
  const last = bucket.entries.pop()!;
  if (last !== entry) {
    bucket.entries[entry.place] = last;
    last.place = entry.place;
  }
  if (bucket.entries.length === 0) bucket.most.fill(0);
  entry.bucket = undefined;
}

function raise(most: Vector, available: Vector): void {
  for (let d = 0; d < most.length; d++) {
    if (available[d]! > most[d]!) most[d] = available[d]!;
  }
}

/** Visits the fitting workers of a bucket; true when the visitor ended it. */
function visitInOrder(
  bucket: Bucket,
  demand: Vector,
  visit: Visitor,
  precedes: (a: Entry, b: Entry) => boolean,
): boolean {
  if (!Vectors.fits(demand, bucket.most)) return false;
  const first = firstFitting(bucket, demand, undefined, precedes);
  if (!first) {
    bucket.most.fill(0);
    for (const {worker} of bucket.entries) raise(bucket.most, worker.available);
    return false;
  }
  // Visitors mostly end at the first worker, so the rest is not sorted.
  let next: Entry | undefined = first;
  while (next) {
    if (visit(next.worker)) return true;
    next = firstFitting(bucket, demand, next, precedes);
  }
  return false;
}

/** The first fitting worker of a bucket after the given one. */
function firstFitting(
  bucket: Bucket,
  demand: Vector,
  after: Entry | undefined,
  precedes: (a: Entry, b: Entry) => boolean,
): Entry | undefined {
  let first: Entry | undefined;
  for (const entry of bucket.entries) {
    if (first && !precedes(entry, first)) continue;
    if (after && !precedes(after, entry)) continue;
    if (Vectors.fits(demand, entry.worker.available)) first = entry;
  }
  return first;
}

function isBefore(a: Entry, b: Entry): boolean {
  if (a.key !== b.key) return a.key < b.key;
  return a.worker.position < b.worker.position;
}

function isAfter(a: Entry, b: Entry): boolean {
  return isBefore(b, a);
}
