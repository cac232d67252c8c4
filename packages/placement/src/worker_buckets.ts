import type {Vector} from './vector.js';
import {Vectors} from './vectors.js';
import type {WorkerRecord} from './worker_record.js';

interface Entry {
  worker: WorkerRecord;
  key: number;
  bucket: Bucket | undefined;
  /** Index in the bucket's entries. */
  index: number;
}

interface Bucket {
  entries: Entry[];
  /**
   * Upper bound, for each dimension separately, of the available amounts of
   * the bucket's workers. A search that finds no fitting worker makes it exact.
   */
  max: Vector;
}

/** Returns true to end the iteration. */
type Visitor = (worker: WorkerRecord) => boolean;

/**
 * Workers ordered by a key and grouped into buckets of equal key ranges. An
 * update moves a worker between two buckets in constant time. A search skips
 * buckets in which a demand cannot fit. Balanced search trees are slower here:
 * each reservation and release updates every order, which took three quarters
 * of the decision time with trees.
 */
export class WorkerBuckets {
  private readonly entries = new Map<WorkerRecord, Entry>();
  private buckets: Bucket[] = [];
  /** Key range of one bucket. */
  private width = 1;

  private constructor(
    private readonly keyOf: (worker: WorkerRecord) => number,
    private readonly bucketCount: number,
  ) {
    this.clear();
  }

  static create(
    keyOf: (worker: WorkerRecord) => number,
    bucketCount: number,
  ): WorkerBuckets {
    return new WorkerBuckets(keyOf, bucketCount);
  }

  add(worker: WorkerRecord): void {
    const entry = {worker, key: 0, bucket: undefined, index: 0};
    this.entries.set(worker, entry);
    this.insert(entry);
  }

  remove(worker: WorkerRecord): void {
    const entry = this.entries.get(worker);
    if (!entry) return;
    this.entries.delete(worker);
    removeFromBucket(entry);
  }

  /** Updates the worker's entry after its availability has changed. */
  update(worker: WorkerRecord): void {
    const entry = this.entries.get(worker);
    if (!entry) return;
    const key = this.keyOf(worker);
    const bucket = this.bucketOf(key);
    if (
      bucket === undefined ||
      bucket !== entry.bucket ||
      isOvercommitted(worker)
    ) {
      removeFromBucket(entry);
      this.insert(entry);
      return;
    }
    entry.key = key;
    raise(bucket.max, worker.available);
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
   * The fitting worker with the highest score. The score must not decrease
   * when any available amount grows. `accept` may exclude workers.
   */
  findHighest(
    demand: Vector,
    score: (available: Vector) => number,
    accept: (worker: WorkerRecord) => boolean,
  ): WorkerRecord | undefined {
    let best: WorkerRecord | undefined;
    let highestScore = -Infinity;
    for (let b = this.buckets.length - 1; b >= 0; b--) {
      const {entries, max} = this.buckets[b]!;
      if (entries.length === 0 || !Vectors.fits(demand, max)) continue;
      if (score(max) <= highestScore) continue;
      for (const {worker} of entries) {
        if (!Vectors.fits(demand, worker.available)) continue;
        const workerScore = score(worker.available);
        if (workerScore <= highestScore || !accept(worker)) continue;
        best = worker;
        highestScore = workerScore;
      }
    }
    return best;
  }

  private insert(entry: Entry): void {
    const {worker} = entry;
    if (isOvercommitted(worker)) return;
    entry.key = this.keyOf(worker);
    const bucket = this.bucketOf(entry.key);
    if (!bucket) {
      this.rebuild(entry.key);
      return;
    }
    entry.bucket = bucket;
    entry.index = bucket.entries.length;
    bucket.entries.push(entry);
    raise(bucket.max, worker.available);
  }

  /** The bucket of a key, or undefined when the key is above all ranges. */
  private bucketOf(key: number): Bucket | undefined {
    return this.buckets[Math.floor(Math.max(0, key) / this.width)];
  }

  /** Widens the buckets until they cover the key. */
  private rebuild(key: number): void {
    while (Math.floor(key / this.width) >= this.bucketCount) this.width *= 2;
    this.clear();
    for (const entry of this.entries.values()) {
      entry.bucket = undefined;
      this.insert(entry);
    }
  }

  private clear(): void {
    this.buckets = Array.from({length: this.bucketCount}, () => ({
      entries: [],
      max: Vectors.zero(),
    }));
  }
}

/** Nothing fits on an overcommitted worker, not even an empty demand. */
function isOvercommitted(worker: WorkerRecord): boolean {
  const {available} = worker;
  for (let d = 0; d < available.length; d++) {
    if (available[d]! < 0) return true;
  }
  return false;
}

function removeFromBucket(entry: Entry): void {
  const {bucket} = entry;
  if (!bucket) return;
  const last = bucket.entries.pop()!;
  if (last !== entry) {
    bucket.entries[entry.index] = last;
    last.index = entry.index;
  }
  if (bucket.entries.length === 0) bucket.max.fill(0);
  entry.bucket = undefined;
}

function raise(max: Vector, available: Vector): void {
  for (let d = 0; d < max.length; d++) {
    if (available[d]! > max[d]!) max[d] = available[d]!;
  }
}

/**
 * Visits the fitting workers of a bucket. Returns true when the visitor ended
 * the iteration.
 */
function visitInOrder(
  bucket: Bucket,
  demand: Vector,
  visit: Visitor,
  precedes: (a: Entry, b: Entry) => boolean,
): boolean {
  if (!Vectors.fits(demand, bucket.max)) return false;
  const first = findFirstFitting(bucket, demand, undefined, precedes);
  if (!first) {
    bucket.max.fill(0);
    for (const {worker} of bucket.entries) raise(bucket.max, worker.available);
    return false;
  }
  // Visitors mostly end at the first worker, so the bucket is not sorted.
  let next: Entry | undefined = first;
  while (next) {
    if (visit(next.worker)) return true;
    next = findFirstFitting(bucket, demand, next, precedes);
  }
  return false;
}

/** The first fitting worker of a bucket after the given one. */
function findFirstFitting(
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
