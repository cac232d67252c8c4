import {RefusedError} from '@cardamomfield/errors';
import type {WorkKind} from '@cardamomfield/types';
import {type Either, Left, Right} from 'purify-ts';
import {BinaryHeap} from './binary_heap.js';
import type {Job} from './job.js';
import {JobLane} from './job_lane.js';
import type {QueuedJob} from './queued_job.js';
import {Vectors} from './vectors.js';

/** Withdrawn entries that the expiry order tolerates before it compacts. */
const MINIMUM_COMPACTION = 1_024;

/**
 * The waiting jobs of one owner, bounded by class and by rule. Withdrawal
 * only marks an entry; the space is reclaimed later, in linear time, once
 * marked entries outnumber the others.
 */
export class JobQueue {
  private readonly lanes = new Map<WorkKind, Map<string, JobLane>>();
  private readonly byKey = new Map<string, QueuedJob[]>();
  private readonly byRule = new Map<string, number>();
  private readonly byClass = new Map<WorkKind, number>();
  private readonly tasksByClass = new Map<WorkKind, number>();
  private readonly expiry = BinaryHeap.create<QueuedJob>(
    (a, b) => a.job.deadline < b.job.deadline,
  );
  private live = 0;
  private sequence = 0;

  private constructor(private readonly classLimit: number) {}

  static create(classLimit: number): JobQueue {
    return new JobQueue(classLimit);
  }

  get size(): number {
    return this.live;
  }

  sizeOf(kind: WorkKind): number {
    return this.byClass.get(kind) ?? 0;
  }

  /** Number of tasks of a class that wait. */
  tasksOf(kind: WorkKind): number {
    return this.tasksByClass.get(kind) ?? 0;
  }

  /** Earliest deadline of a waiting job, on the wall clock. */
  earliestDeadline(): number | undefined {
    while (this.expiry.peek()?.isQueued === false) this.expiry.pop();
    return this.expiry.peek()?.job.deadline;
  }

  /** Every lane that has waiting jobs. */
  *allLanes(): Iterable<JobLane> {
    for (const lanes of this.lanes.values()) {
      for (const lane of lanes.values()) if (lane.live > 0) yield lane;
    }
  }

  /** Lanes of a class, with and without waiting jobs. */
  lanesOf(kind: WorkKind): Iterable<JobLane> {
    return this.lanes.get(kind)?.values() ?? [];
  }

  /** Whether the bounds leave room for another such job. */
  hasRoomFor(job: Job): boolean {
    if (this.sizeOf(job.kind) >= this.classLimit) return false;
    const bound = job.queueBound;
    return !bound || (this.byRule.get(bound.rule) ?? 0) < bound.limit;
  }

  add(job: Job, now: number): Either<RefusedError, QueuedJob> {
    const pending = [...(job.taskIndexes ?? Array(job.taskCount).keys())];
    if (this.isQueued(job, pending)) return Left(alreadyQueued(job));
    if (!this.hasRoomFor(job)) return Left(queueFull(job));
    const lane = this.laneOf(job);
    const entry: QueuedJob = {
      job,
      demand: Vectors.of(job.demand),
      pending,
      sequence: this.sequence++,
      enqueuedAt: now,
      isQueued: true,
      lane,
      reservationDeadline: Infinity,
      earmarks: [],
      blockedAtVersion: -1,
    };
    lane.add(entry);
    this.expiry.push(entry);
    const sameKey = this.byKey.get(job.key);
    if (sameKey) sameKey.push(entry);
    else this.byKey.set(job.key, [entry]);
    this.count(job, 1);
    this.countTasks(job.kind, pending.length);
    return Right(entry);
  }

  /** Notes that the task at the head of the entry's list was placed. */
  dropFirstTask(entry: QueuedJob): void {
    entry.pending.shift();
    this.countTasks(entry.job.kind, -1);
    if (entry.pending.length === 0) this.remove(entry);
  }

  /** Takes an entry out of the queue in constant time. */
  remove(entry: QueuedJob): void {
    if (!entry.isQueued) return;
    entry.isQueued = false;
    const sameKey = this.byKey.get(entry.job.key)!.filter(e => e !== entry);
    if (sameKey.length > 0) this.byKey.set(entry.job.key, sameKey);
    else this.byKey.delete(entry.job.key);
    this.count(entry.job, -1);
    this.countTasks(entry.job.kind, -entry.pending.length);
    entry.lane.forget();
    this.compactExpiry();
  }

  /** The waiting entries of a request; attempts may wait separately. */
  entriesOf(key: string): readonly QueuedJob[] {
    return this.byKey.get(key) ?? [];
  }

  /** Takes out up to `limit` entries whose deadline has passed. */
  takeExpired(wallNow: number, limit: number): QueuedJob[] {
    const expired: QueuedJob[] = [];
    while (expired.length < limit) {
      const first = this.expiry.peek();
      if (!first) break;
      if (first.isQueued && first.job.deadline > wallNow) break;
      this.expiry.pop();
      if (!first.isQueued) continue;
      this.remove(first);
      expired.push(first);
    }
    return expired;
  }

  private isQueued(job: Job, indexes: number[]): boolean {
    return this.entriesOf(job.key).some(
      entry =>
        entry.job.attempt === job.attempt &&
        entry.pending.some(index => indexes.includes(index)),
    );
  }

  private laneOf(job: Job): JobLane {
    let lanes = this.lanes.get(job.kind);
    if (!lanes) {
      lanes = new Map();
      this.lanes.set(job.kind, lanes);
    }
    const name = `${job.service} ${job.team}`;
    let lane = lanes.get(name);
    if (!lane) {
      lane = JobLane.create(job.kind, job.service, job.team);
      lanes.set(name, lane);
    }
    return lane;
  }

  private count(job: Job, difference: number): void {
    this.live += difference;
    this.byClass.set(job.kind, this.sizeOf(job.kind) + difference);
    if (!job.queueBound) return;
    const {rule} = job.queueBound;
    this.byRule.set(rule, (this.byRule.get(rule) ?? 0) + difference);
  }

  private countTasks(kind: WorkKind, difference: number): void {
    this.tasksByClass.set(kind, this.tasksOf(kind) + difference);
  }

  private compactExpiry(): void {
    const dead = this.expiry.size - this.live;
    if (dead <= MINIMUM_COMPACTION + this.live) return;
    this.expiry.filter(entry => entry.isQueued);
  }
}

function alreadyQueued(job: Job): RefusedError {
  return RefusedError.create(
    `attempt ${job.attempt} of request ${job.key} is already queued`,
    {reason: 'already-queued', key: job.key, attempt: job.attempt},
  );
}

function queueFull(job: Job): RefusedError {
  return RefusedError.create(`the queue for ${job.kind} work is full`, {
    reason: 'queue-full',
    kind: job.kind,
    rule: job.queueBound?.rule,
  });
}
