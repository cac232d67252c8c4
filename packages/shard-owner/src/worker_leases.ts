import type {Clock} from '@cardamomfield/clock';
import type {OwnerTiming} from './owner_timing.js';
import type {ShardJournal} from './shard_journal.js';
import {WorkerClock} from './worker_clock.js';

/** Lease that a look or a start grants while the log is well. */
const LEASE_MILLISECONDS = 5_000;

/** Added to a lease end before its tasks are taken for dead. */
const LEASE_MARGIN_MILLISECONDS = 400;

/** A call without an answer may be carried out this much later. */
const LATE_ORDER_MILLISECONDS = 6_000;

interface WorkerLeasesOptions {
  journal: ShardJournal;
  clock: Clock;
  timing: OwnerTiming;
  /** Monotonic time at which leases of earlier owners have surely lapsed. */
  earlierLeasesEndAt: number;
}

/** The leases that were granted to one worker, in its time and in ours. */
export class WorkerLeases {
  private readonly clock = WorkerClock.create();
  /** Monotonic time at which every granted lease has surely lapsed. */
  private endsAt: number;

  private constructor(private readonly options: WorkerLeasesOptions) {
    this.endsAt = options.earlierLeasesEndAt;
  }

  static create(options: WorkerLeasesOptions): WorkerLeases {
    return new WorkerLeases(options);
  }

  get isClockKnown(): boolean {
    return this.clock.isKnown;
  }

  /** True once nothing that was started on the worker can still run. */
  get areOver(): boolean {
    return this.options.clock.monotonicNow() > this.endsAt;
  }

  /** Takes a reading of the worker's clock that arrived at a monotonic time. */
  observe(workerMilliseconds: number, receivedAt: number): void {
    this.clock.observe(workerMilliseconds, receivedAt);
  }

  /**
   * The worker's clock begins anew. A restart ends all earlier leases, but
   * orders that were sent before it was noticed named times of the former
   * clock; the new life shortens such a lease to the longest one.
   */
  enterLife(isRestart: boolean): void {
    const {clock, timing} = this.options;
    this.clock.forget();
    if (!isRestart) return;
    this.endsAt =
      clock.monotonicNow() +
      LATE_ORDER_MILLISECONDS +
      timing.maximumLeaseMilliseconds / WorkerClock.slowestRate +
      LEASE_MARGIN_MILLISECONDS;
  }

  /** The lease end to send now, on the worker's clock. */
  grant(now: number): number {
    const {journal, timing} = this.options;
    // While the log fails, the longest lease carries the tasks over an outage.
    const length = journal.isLogFailing()
      ? timing.maximumLeaseMilliseconds
      : Math.min(LEASE_MILLISECONDS, timing.maximumLeaseMilliseconds);
    const end = Math.round(this.clock.estimate(now) + length);
    this.endsAt = Math.max(
      this.endsAt === Infinity ? 0 : this.endsAt,
      this.clock.latestLocalTime(end) + LEASE_MARGIN_MILLISECONDS,
    );
    return end;
  }
}
