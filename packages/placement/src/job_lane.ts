import type {WorkKind} from '@cardamomfield/types';
import {BinaryHeap} from './binary_heap.js';
import type {QueuedJob} from './queued_job.js';
import type {Vector} from './vector.js';

/** Withdrawn entries that a lane tolerates before it compacts. */
const MINIMUM_COMPACTION = 64;

/** Waiting jobs of one class, service and team, by deadline. */
export class JobLane {
  /** Number of entries that still wait. */
  live = 0;
  /** Version of the service's capacity at which all entries were blocked. */
  blockedAtVersion = -1;
  /** Monotonic instant at which blocked entries need another look. */
  recheckAt = Infinity;
  /** The least that any blocked entry without earmarks demands. */
  leastDemand: Vector = [];
  /** Blocked entries for which capacity is kept. */
  earmarked: QueuedJob[] = [];
  /** Blocked entries in order; they were taken from the heap before. */
  private front: QueuedJob[] = [];
  private readonly heap = BinaryHeap.create<QueuedJob>(isEarlier);

  private constructor(
    readonly kind: WorkKind,
    readonly service: string,
    readonly team: string,
  ) {}

  static create(kind: WorkKind, service: string, team: string): JobLane {
    return new JobLane(kind, service, team);
  }

  add(entry: QueuedJob): void {
    this.heap.push(entry);
    this.live++;
    this.blockedAtVersion = -1;
  }

  /** Takes out the next entry for a placement attempt. */
  take(): QueuedJob | undefined {
    for (;;) {
      const entry = this.takeAny();
      if (!entry || entry.isQueued) return entry;
    }
  }

  /** Puts back the entries that stay blocked, which must be in order. */
  putBack(blocked: QueuedJob[]): void {
    const live = blocked.filter(entry => entry.isQueued);
    this.front = [...live, ...this.front];
  }

  /** Accounts for an entry that no longer waits. */
  forget(): void {
    this.live--;
    const dead = this.heap.size + this.front.length - this.live;
    if (dead <= MINIMUM_COMPACTION + this.live) return;
    this.heap.filter(entry => entry.isQueued);
    this.front = this.front.filter(entry => entry.isQueued);
  }

  private takeAny(): QueuedJob | undefined {
    const first = this.front[0];
    const top = this.heap.peek();
    if (first && (!top || isEarlier(first, top))) return this.front.shift();
    return this.heap.pop();
  }
}

function isEarlier(a: QueuedJob, b: QueuedJob): boolean {
  if (a.job.deadline !== b.job.deadline) {
    return a.job.deadline < b.job.deadline;
  }
  return a.sequence < b.sequence;
}
