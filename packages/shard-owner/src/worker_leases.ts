import type {Clock} from '@cardamomfield/clock';
import type {LeaseCall} from './lease_call.js';
import type {OwnerTiming} from './owner_timing.js';
import {LeaseTerms} from './lease_terms.js';
import type {ShardJournal} from './shard_journal.js';
import {WorkerClock} from './worker_clock.js';

/**
 * Longest time until the runs of a lost worker may count as lost. The rest of
 * the 9 s in which lasting tasks must run again is for their placement.
 */
const LOSS_MILLISECONDS = 8_600;

/** An unanswered call may still be carried out up to this much later. */
const LATE_ORDER_MILLISECONDS = 12_000;

/**
 * An owner learns of a restart by its next call, and sends none based on the
 * former clock after that. No call takes longer.
 */
const LONGEST_CALL_MILLISECONDS = 3_000;

interface WorkerLeasesOptions {
  journal: Pick<ShardJournal, 'leaseLimit'>;
  clock: Clock;
  timing: OwnerTiming;
  /**
   * Monotonic time by which the leases of earlier owners on an incarnation that
   * refuses calls to former ones have ended; it may become earlier.
   */
  earlierLeasesEndAt: () => number;
  /** The same for an incarnation of which nothing is known. */
  earlierCallsEndAt: number;
  /** Monotonic time by which leases of an ended session have expired. */
  endedLeasesEndAt: number;
  /** Called with the monotonic time of each grant. */
  onGrant: (now: number) => void;
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
  /**
   * `unknown`: calls of earlier owners to a former incarnation may have granted
   * this one a lease; `known`: such a lease has ended, or none was granted;
   * `restarted`: the session itself has found the incarnation.
   */
  private incarnation: 'unknown' | 'known' | 'restarted' = 'unknown';

  private constructor(private readonly options: WorkerLeasesOptions) {
    this.otherLeasesEndAt = Math.max(
      options.endedLeasesEndAt,
      options.earlierCallsEndAt,
    );
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
    const earlier =
      this.incarnation === 'known'
        ? this.options.earlierLeasesEndAt()
        : -Infinity;
    return Math.max(this.otherLeasesEndAt, this.grantedExpireAt, earlier);
  }

  /**
   * The same for a run of an earlier owner that is known to hold no other leases
   * than those by `LeaseTerms`. A restart of the worker has ended it.
   */
  get adoptedExpireAt(): number {
    if (this.incarnation !== 'unknown') return this.expireAt;
    const {earlierLeasesEndAt, endedLeasesEndAt} = this.options;
    return Math.max(
      endedLeasesEndAt,
      this.grantedExpireAt,
      earlierLeasesEndAt(),
    );
  }

  private get grantedExpireAt(): number {
    if (this.grantedEnd === undefined) return -Infinity;
    return (
      this.clock.latestLocalTime(this.grantedEnd) +
      LeaseTerms.marginMilliseconds(this.options.timing)
    );
  }

  /**
   * Notes that the answering incarnation refused calls to former ones already
   * under an earlier owner.
   */
  noteKnownIncarnation(): void {
    if (this.incarnation !== 'unknown') return;
    this.incarnation = 'known';
    this.otherLeasesEndAt = this.options.endedLeasesEndAt;
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
    return this.expireAt > now + LOSS_MILLISECONDS;
  }

  /** Whether the worker may hold a lease that no later owner knows of. */
  mayHoldOtherLease(now: number): boolean {
    return this.mayMeetLateCall || this.otherLeasesEndAt > now;
  }

  /** Lower bound of the worker's clock at a monotonic time. */
  clockAt(now: number): number {
    return this.clock.estimate(now);
  }

  /** Stores a reading of the worker's clock received at a monotonic time. */
  observe(workerMilliseconds: number, receivedAt: number): void {
    this.clock.observe(workerMilliseconds, receivedAt);
    // Leases that late calls to a former incarnation may have granted this one
    // have ended on its clock.
    const longest =
      LONGEST_CALL_MILLISECONDS +
      LATE_ORDER_MILLISECONDS +
      this.options.timing.maximumLeaseMilliseconds;
    if (workerMilliseconds > longest) this.noteKnownIncarnation();
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
      now < this.lateCallsEndAt || now < this.options.earlierCallsEndAt;
    this.incarnation = 'restarted';
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

  /**
   * Grants a lease by `LeaseTerms` and returns its end on the worker's clock. It
   * may lie in the past, which leaves the worker's lease as it is.
   */
  grant(now: number): number {
    const {journal, timing, onGrant} = this.options;
    const length = Math.min(
      LeaseTerms.leaseMilliseconds,
      journal.leaseLimit - now,
      timing.maximumLeaseMilliseconds,
    );
    onGrant(now);
    const end = Math.max(0, Math.floor(this.clock.estimate(now) + length));
    this.grantedEnd = Math.max(this.grantedEnd ?? 0, end);
    return end;
  }

  /** A worker shortens a longer lease to the longest one. */
  private longestLeaseEndsAt(): number {
    const {clock, timing} = this.options;
    return (
      clock.monotonicNow() +
      LeaseTerms.runMilliseconds(timing.maximumLeaseMilliseconds, timing)
    );
  }
}
