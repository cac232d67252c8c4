import type {WorkKind} from '@cardamomfield/types';
import {BinaryHeap} from './binary_heap.js';
import type {QueuedJob} from './queued_job.js';

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
      const entry = this.heap.pop();
      if (!entry || entry.isQueued) return entry;
    }
  }

  /** Puts back an entry that stays blocked. */
  putBack(entry: QueuedJob): void {
    if (entry.isQueued) this.heap.push(entry);
  }

  /** Accounts for an entry that no longer waits. */
  forget(): void {
    this.live--;
    if (this.heap.size - this.live <= MINIMUM_COMPACTION + this.live) return;
    this.heap.filter(entry => entry.isQueued);
  }
}

function isEarlier(a: QueuedJob, b: QueuedJob): boolean {
  if (a.job.deadline !== b.job.deadline) {
    return a.job.deadline < b.job.deadline;
  }
  return a.sequence < b.sequence;
}
