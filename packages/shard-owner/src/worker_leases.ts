import type {Clock} from '@cardamomfield/clock';
import type {OwnerTiming} from './owner_timing.js';
import type {ShardJournal} from './shard_journal.js';
import {WorkerClock} from './worker_clock.js';

/** Lease that a poll or a start grants while the log works. */
const LEASE_MILLISECONDS = 5_000;

/**
 * Lease that a poll or a start grants while the log fails. It keeps runs alive
 * over an outage, and still lets the tasks of a worker that is lost meanwhile
 * run elsewhere within 9 s.
 */
const OUTAGE_LEASE_MILLISECONDS = 8_000;

/** Safety margin after the end of a lease before its runs count as lost. */
const LEASE_MARGIN_MILLISECONDS = 400;

/** An unanswered call may still be carried out up to this much later. */
const LATE_ORDER_MILLISECONDS = 6_000;

interface WorkerLeasesOptions {
  journal: ShardJournal;
  clock: Clock;
  timing: OwnerTiming;
  /** Monotonic time by which all leases of earlier owners have expired. */
  earlierLeasesEndAt: number;
}

/** The leases granted to one worker, on its clock and on the owner's. */
export class WorkerLeases {
  private readonly clock = WorkerClock.create();
  /** Monotonic time by which every granted lease has expired. */
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

  /** Monotonic time after which no run of the worker can still be running. */
  get expireAt(): number {
    return this.endsAt;
  }

  /** Stores a reading of the worker's clock received at a monotonic time. */
  observe(workerMilliseconds: number, receivedAt: number): void {
    this.clock.observe(workerMilliseconds, receivedAt);
  }

  /**
   * Resets the clock estimate for a new incarnation of the worker. A restart
   * ends all earlier leases, but orders sent before the restart was detected
   * carry lease ends on the former clock. The new incarnation caps such a lease
   * at the maximum lease.
   */
  beginIncarnation(isRestart: boolean): void {
    const {clock, timing} = this.options;
    this.clock.reset();
    if (!isRestart) return;
    this.endsAt =
      clock.monotonicNow() +
      LATE_ORDER_MILLISECONDS +
      timing.maximumLeaseMilliseconds / WorkerClock.slowestRate +
      LEASE_MARGIN_MILLISECONDS;
  }

  /** Grants a lease and returns its end on the worker's clock. */
  grant(now: number): number {
    const {journal, timing} = this.options;
    const length = Math.min(
      journal.isLogFailing() ? OUTAGE_LEASE_MILLISECONDS : LEASE_MILLISECONDS,
      timing.maximumLeaseMilliseconds,
    );
    const end = Math.round(this.clock.estimate(now) + length);
    this.endsAt = Math.max(
      this.endsAt === Infinity ? 0 : this.endsAt,
      this.clock.latestLocalTime(end) + LEASE_MARGIN_MILLISECONDS,
    );
    return end;
  }
}
