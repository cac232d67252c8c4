import type {Clock} from '@cardamomfield/clock';
import type {LeaseCall} from './lease_call.js';
import type {OwnerTiming} from './owner_timing.js';
import type {ShardJournal} from './shard_journal.js';
import {WorkerClock} from './worker_clock.js';

/** Lease that a poll or a start grants while the log works. */
const LEASE_MILLISECONDS = 5_000;

/**
 * Longest lease that a poll or a start grants while the log fails. It keeps
 * runs alive over an outage.
 */
const OUTAGE_LEASE_MILLISECONDS = 8_000;

/**
 * The runs of a lost worker count as lost within this time after the last grant
 * of a lease. The rest of the 9 s in which lasting tasks must run again is for
 * their placement.
 */
const LOSS_MILLISECONDS = 8_600;

/**
 * How late a worker may begin to end its runs after the end of a lease, because
 * its process is busy.
 */
const WORKER_DELAY_MILLISECONDS = 400;

/** An unanswered call may still be carried out up to this much later. */
const LATE_ORDER_MILLISECONDS = 12_000;

interface WorkerLeasesOptions {
  journal: Pick<ShardJournal, 'isLogFailing'>;
  clock: Clock;
  timing: OwnerTiming;
  /** Monotonic time by which all leases of earlier owners have expired. */
  earlierLeasesEndAt: number;
  /**
   * Monotonic time until which calls of an ended session with the worker may
   * still be carried out.
   */
  lateCallsEndAt: number;
}

/** The leases granted to one worker, on its clock and on the owner's. */
export class WorkerLeases {
  private readonly clock = WorkerClock.create();
  /** Latest lease end that was granted, on the worker's clock. */
  private grantedEnd: number | undefined;
  /**
   * Monotonic time by which leases have expired whose ends are not known on the
   * worker's present clock.
   */
  private otherLeasesEndAt: number;
  /** Calls without an answer so far that grant a lease. */
  private openCalls = 0;
  /** Monotonic time at which such a call last failed. */
  private failedCallAt = -Infinity;
  /** Monotonic time at which another incarnation last answered such a call. */
  private otherClockAt = -Infinity;
  /**
   * True while a call to a former incarnation may be carried out by the present
   * one and grant it a lease.
   */
  private mayMeetLateCall: boolean;

  private constructor(private readonly options: WorkerLeasesOptions) {
    this.otherLeasesEndAt = options.earlierLeasesEndAt;
    this.mayMeetLateCall =
      options.clock.monotonicNow() < options.lateCallsEndAt;
  }

  static create(options: WorkerLeasesOptions): WorkerLeases {
    return new WorkerLeases(options);
  }

  get isClockKnown(): boolean {
    return this.clock.isKnown;
  }

  /** Monotonic time after which no run of the worker can still be running. */
  get expireAt(): number {
    if (this.grantedEnd === undefined) return this.otherLeasesEndAt;
    return Math.max(
      this.otherLeasesEndAt,
      this.clock.latestLocalTime(this.grantedEnd) + this.marginMilliseconds,
    );
  }

  /** Monotonic time until which calls so far may still be carried out. */
  get lateCallsEndAt(): number {
    const now = this.options.clock.monotonicNow();
    const lastAt = Math.max(
      this.failedCallAt,
      this.otherClockAt,
      this.openCalls > 0 ? now : -Infinity,
    );
    return Math.max(
      this.options.lateCallsEndAt,
      lastAt + LATE_ORDER_MILLISECONDS,
    );
  }

  /** Whether the worker may hold a longer lease than any granted now. */
  mayHoldLongLease(now: number): boolean {
    return this.otherLeasesEndAt > now + LOSS_MILLISECONDS;
  }

  /** Lower bound of the worker's clock at a monotonic time. */
  clockAt(now: number): number {
    return this.clock.estimate(now);
  }

  /** Stores a reading of the worker's clock received at a monotonic time. */
  observe(workerMilliseconds: number, receivedAt: number): void {
    this.clock.observe(workerMilliseconds, receivedAt);
  }

  /** Counts a call that grants a lease, until it ends. */
  beginCall(): LeaseCall {
    this.openCalls++;
    return {
      end: isAnswered => {
        this.openCalls--;
        if (!isAnswered) this.failedCallAt = this.options.clock.monotonicNow();
      },
    };
  }

  /**
   * Resets the clock estimate for a new incarnation of the worker. A restart
   * ends all earlier leases. Only calls to the former incarnation can grant the
   * new one a lease, with an end on the former clock: those that have not ended
   * or were not answered, and those that the new incarnation has answered.
   * `isFenceRaised` says that the new incarnation will refuse them.
   */
  beginIncarnation(isFenceRaised: boolean): void {
    const now = this.options.clock.monotonicNow();
    const hasLateCalls =
      now < this.lateCallsEndAt || now < this.options.earlierLeasesEndAt;
    this.clock.reset();
    this.grantedEnd = undefined;
    this.mayMeetLateCall = hasLateCalls && isFenceRaised;
    if (!hasLateCalls) this.otherLeasesEndAt = -Infinity;
    else if (isFenceRaised) this.otherLeasesEndAt = this.longestLeaseEndsAt();
    else {
      this.otherLeasesEndAt =
        LATE_ORDER_MILLISECONDS + this.longestLeaseEndsAt();
    }
  }

  /** Notes that the incarnation refuses calls to the former one from now on. */
  noteFenced(): void {
    if (!this.mayMeetLateCall) return;
    this.mayMeetLateCall = false;
    this.coverOtherClock();
  }

  /**
   * Covers a lease that a new incarnation has taken from an order with a lease
   * end on the former clock.
   */
  coverOtherClock(): void {
    this.otherClockAt = this.options.clock.monotonicNow();
    this.otherLeasesEndAt = Math.max(
      this.otherLeasesEndAt,
      this.longestLeaseEndsAt(),
    );
  }

  /** Grants a lease and returns its end on the worker's clock. */
  grant(now: number): number {
    const {journal, timing} = this.options;
    const length = Math.min(
      journal.isLogFailing()
        ? this.outageLeaseMilliseconds
        : LEASE_MILLISECONDS,
      timing.maximumLeaseMilliseconds,
    );
    const end = Math.round(this.clock.estimate(now) + length);
    this.grantedEnd = Math.max(this.grantedEnd ?? 0, end);
    return end;
  }

  /** A worker shortens a longer lease to the longest one. */
  private longestLeaseEndsAt(): number {
    const {clock, timing} = this.options;
    return (
      clock.monotonicNow() +
      timing.maximumLeaseMilliseconds / WorkerClock.slowestRate +
      this.marginMilliseconds
    );
  }

  /**
   * Time after the end of a lease until its runs have ended: a worker kills
   * them then, which takes as long as a stop.
   */
  private get marginMilliseconds(): number {
    return WORKER_DELAY_MILLISECONDS + this.options.timing.stopMilliseconds;
  }

  private get outageLeaseMilliseconds(): number {
    const longest =
      (LOSS_MILLISECONDS - this.marginMilliseconds) * WorkerClock.slowestRate;
    return Math.max(
      LEASE_MILLISECONDS,
      Math.min(OUTAGE_LEASE_MILLISECONDS, longest),
    );
  }
}
