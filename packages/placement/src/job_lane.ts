import type {WorkKind} from '@cardamomfield/types';
import {BinaryHeap} from './binary_heap.js';
import type {QueuedJob} from './queued_job.js';
import type {Vector} from './vector.js';

/**
 * A lane is compacted when its removed entries outnumber its waiting ones by
 * more than this.
 */
const COMPACTION_THRESHOLD = 64;

/** Waiting jobs of one class, service and team, ordered by deadline. */
export class JobLane {
  waitingCount = 0;
  /**
   * Version of the service's index at which the last pass found all entries
   * blocked that it tried; -1 if it did not finish or an entry was added since.
   */
  blockedAtVersion = -1;
  /** Monotonic instant at which blocked entries must be tried again. */
  recheckAt = Infinity;
  /**
   * Minimum demand, for each dimension separately, of the blocked entries
   * without earmarks.
   */
  minimumDemand: Vector = [];
  /** Blocked entries with earmarks. */
  earmarked: QueuedJob[] = [];
  /** Entries that a pass took from the heap and put back, in order. */
  private blocked: QueuedJob[] = [];
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
    this.waitingCount++;
    this.blockedAtVersion = -1;
  }

  /** Removes and returns the next waiting entry. */
  take(): QueuedJob | undefined {
    for (;;) {
      const entry = this.takeFirst();
      if (!entry || entry.isQueued) return entry;
    }
  }

  /**
   * Puts back the entries that a pass did not place: those still blocked and
   * those that it did not try. They must be in order.
   */
  requeueBlocked(blocked: QueuedJob[]): void {
    const waiting = blocked.filter(entry => entry.isQueued);
    this.blocked = [...waiting, ...this.blocked];
  }

  /** Must be called once for each entry that stops waiting. */
  recordRemoval(): void {
    this.waitingCount--;
    const removedCount =
      this.heap.size + this.blocked.length - this.waitingCount;
    if (removedCount <= COMPACTION_THRESHOLD + this.waitingCount) return;
    this.heap.filter(entry => entry.isQueued);
    this.blocked = this.blocked.filter(entry => entry.isQueued);
  }

  private takeFirst(): QueuedJob | undefined {
    const first = this.blocked[0];
    const top = this.heap.peek();
    if (first && (!top || isEarlier(first, top))) return this.blocked.shift();
    return this.heap.pop();
  }
}

function isEarlier(a: QueuedJob, b: QueuedJob): boolean {
  if (a.job.deadline !== b.job.deadline) {
    return a.job.deadline < b.job.deadline;
  }
  return a.sequence < b.sequence;
}
