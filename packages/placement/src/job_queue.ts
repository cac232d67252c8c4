import {RefusedError} from '@cardamomfield/errors';
import type {WorkKind} from '@cardamomfield/types';
import {type Either, Left, Right} from 'purify-ts';
import {BinaryHeap} from './binary_heap.js';
import type {Job} from './job.js';
import {JobLane} from './job_lane.js';
import type {QueuedJob} from './queued_job.js';
import {Vectors} from './vectors.js';

/**
 * The heap by deadline is compacted when its removed entries outnumber its
 * waiting ones by more than this.
 */
const COMPACTION_THRESHOLD = 1_024;

/**
 * The waiting jobs of one owner, limited by class and by rule. Removal only
 * marks an entry. The marked entries are deleted later, in linear time, once
 * they outnumber the others.
 */
export class JobQueue {
  private readonly lanes = new Map<WorkKind, Map<string, JobLane>>();
  private readonly entriesByKey = new Map<string, QueuedJob[]>();
  private readonly jobCountByRule = new Map<string, number>();
  private readonly jobCountByClass = new Map<WorkKind, number>();
  private readonly taskCountByClass = new Map<WorkKind, number>();
  private readonly byDeadline = BinaryHeap.create<QueuedJob>(
    (a, b) => a.job.deadline < b.job.deadline,
  );
  private waitingCount = 0;
  private nextSequence = 0;

  private constructor(private readonly classLimit: number) {}

  static create(classLimit: number): JobQueue {
    return new JobQueue(classLimit);
  }

  get size(): number {
    return this.waitingCount;
  }

  sizeOf(kind: WorkKind): number {
    return this.jobCountByClass.get(kind) ?? 0;
  }

  /** Number of waiting tasks of a class. */
  taskCountOf(kind: WorkKind): number {
    return this.taskCountByClass.get(kind) ?? 0;
  }

  /** Earliest deadline of a waiting job, on the wall clock. */
  earliestDeadline(): number | undefined {
    while (this.byDeadline.peek()?.isQueued === false) this.byDeadline.pop();
    return this.byDeadline.peek()?.job.deadline;
  }

  /** All lanes that have waiting jobs. */
  *waitingLanes(): Iterable<JobLane> {
    for (const lanes of this.lanes.values()) {
      for (const lane of lanes.values()) if (lane.waitingCount > 0) yield lane;
    }
  }

  /** All lanes of a class, including empty ones. */
  lanesOf(kind: WorkKind): Iterable<JobLane> {
    return this.lanes.get(kind)?.values() ?? [];
  }

  /** Whether the limits of its class and its rule allow another such job. */
  hasCapacityFor(job: Job): boolean {
    if (this.sizeOf(job.kind) >= this.classLimit) return false;
    const bound = job.queueBound;
    return !bound || (this.jobCountByRule.get(bound.rule) ?? 0) < bound.limit;
  }

  add(job: Job, now: number): Either<RefusedError, QueuedJob> {
    const pending = [...(job.taskIndexes ?? Array(job.taskCount).keys())];
    if (this.isQueued(job, pending)) return Left(alreadyQueued(job));
    if (!this.hasCapacityFor(job)) return Left(queueFull(job));
    const lane = this.laneOf(job);
    const entry: QueuedJob = {
      job,
      demand: Vectors.of(job.demand),
      pending,
      sequence: this.nextSequence++,
      enqueuedAt: now,
      isQueued: true,
      lane,
      earmarksFrom: Infinity,
      earmarks: [],
      blockedAtVersion: -1,
    };
    lane.add(entry);
    this.byDeadline.push(entry);
    const sameKey = this.entriesByKey.get(job.key);
    if (sameKey) sameKey.push(entry);
    else this.entriesByKey.set(job.key, [entry]);
    this.adjustJobCounts(job, 1);
    this.adjustTaskCount(job.kind, pending.length);
    return Right(entry);
  }

  /**
   * Removes the first pending task, which was placed. Removes the entry with
   * its last task.
   */
  dropFirstTask(entry: QueuedJob): void {
    entry.pending.shift();
    this.adjustTaskCount(entry.job.kind, -1);
    if (entry.pending.length === 0) this.remove(entry);
  }

  /** Marks an entry as removed, in amortized constant time. */
  remove(entry: QueuedJob): void {
    if (!entry.isQueued) return;
    entry.isQueued = false;
    const sameKey = this.entriesByKey
      .get(entry.job.key)!
      .filter(e => e !== entry);
    if (sameKey.length > 0) this.entriesByKey.set(entry.job.key, sameKey);
    else this.entriesByKey.delete(entry.job.key);
    this.adjustJobCounts(entry.job, -1);
    this.adjustTaskCount(entry.job.kind, -entry.pending.length);
    entry.lane.recordRemoval();
    this.compactDeadlines();
  }

  /** Waiting entries of a request, which may have one for each attempt. */
  entriesOf(key: string): readonly QueuedJob[] {
    return this.entriesByKey.get(key) ?? [];
  }

  /** Removes and returns up to `limit` entries whose deadline has passed. */
  takeExpired(wallNow: number, limit: number): QueuedJob[] {
    const expired: QueuedJob[] = [];
    while (expired.length < limit) {
      const first = this.byDeadline.peek();
      if (!first) break;
      if (first.isQueued && first.job.deadline > wallNow) break;
      this.byDeadline.pop();
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

  private adjustJobCounts(job: Job, difference: number): void {
    this.waitingCount += difference;
    this.jobCountByClass.set(job.kind, this.sizeOf(job.kind) + difference);
    if (!job.queueBound) return;
    const {rule} = job.queueBound;
    this.jobCountByRule.set(
      rule,
      (this.jobCountByRule.get(rule) ?? 0) + difference,
    );
  }

  private adjustTaskCount(kind: WorkKind, difference: number): void {
    this.taskCountByClass.set(kind, this.taskCountOf(kind) + difference);
  }

  private compactDeadlines(): void {
    const removedCount = this.byDeadline.size - this.waitingCount;
    if (removedCount <= COMPACTION_THRESHOLD + this.waitingCount) return;
    this.byDeadline.filter(entry => entry.isQueued);
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
