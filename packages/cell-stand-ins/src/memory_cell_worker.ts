import type {
  PollOrder,
  RunEnd,
  StartOrder,
  StartOutcome,
  WorkerDescription,
  WorkerReport,
} from '@cardamomfield/cell-model';
import type {ManualClock, RandomSource} from '@cardamomfield/clock';
import type {RunLedger} from './run_ledger.js';

interface WorkerRun {
  attempt: number;
  startedAt: number;
  endsAt: number;
  kind: 'done' | 'failed';
}

/** Lowest rate of a worker's clock relative to virtual time. */
const SLOWEST_RATE = 0.98;

const MAXIMUM_SHORT_RUN_MILLISECONDS = 4_000;

/** Probability of a run that may outlast every lease. */
const LONG_RUN_SHARE = 0.15;
const MAXIMUM_LONG_RUN_MILLISECONDS = 40_000;
const FAILURE_SHARE = 0.05;
/** Time for which a restarting worker is unreachable. */
const RESTART_MILLISECONDS = 500;

const LONGEST_LEASE_MILLISECONDS = 10_000;

/**
 * In-memory worker that follows the platform's rules for fencing tokens,
 * leases and the list of ended runs.
 */
export class MemoryCellWorker {
  isUp = true;
  /** Whether the directory lists the worker. */
  isListed = true;
  /** True once another worker answers at this worker's address. */
  isReplaced = false;
  /** True while the directory still has the entry of a worker that crashed. */
  isEntryRetained = false;
  private bornAt: number;
  private startedAt: number;
  private highestFencingToken = 0;
  private leaseEnd = 0;
  private runs = new Map<string, WorkerRun>();
  private ends: RunEnd[] = [];
  private endCount = 0;
  /**
   * Ends up to this number were not acknowledged before the lease lapsed.
   * Acknowledging one of them no longer rules out a new run of its task.
   */
  private voidedUpTo = 0;
  /** Highest attempt that ended or was stopped on this worker, by task. */
  private endedAttempts = new Map<string, number>();
  private readonly rate: number;

  private constructor(
    readonly id: string,
    private readonly milliCores: number,
    private readonly virtualClock: ManualClock,
    private readonly random: RandomSource,
    private readonly ledger: RunLedger,
    private readonly demand: (taskName: string) => number,
    private readonly longestLeaseMilliseconds: number,
  ) {
    this.rate = SLOWEST_RATE + random.fraction() * (1 - SLOWEST_RATE);
    this.bornAt = virtualClock.wallNow();
    this.startedAt = virtualClock.monotonicNow();
  }

  static create(
    id: string,
    milliCores: number,
    virtualClock: ManualClock,
    random: RandomSource,
    ledger: RunLedger,
    demand: (taskName: string) => number,
    longestLeaseMilliseconds: number = LONGEST_LEASE_MILLISECONDS,
  ): MemoryCellWorker {
    return new MemoryCellWorker(
      id,
      milliCores,
      virtualClock,
      random,
      ledger,
      demand,
      longestLeaseMilliseconds,
    );
  }

  describe(): WorkerDescription {
    return {
      id: this.id,
      service: 'service',
      address: `${this.id}:1`,
      availabilityZone: 'zone',
      state: 'ready',
      milliCores: this.milliCores,
      memoryMegabytes: 1_000_000,
      accelerators: 0,
      labels: [],
      bornAtUnixMilliseconds: this.bornAt,
    };
  }

  /** Number of restarts. */
  incarnation = 0;

  /** Restarts the worker under the same ID with all of its state lost. */
  restart(): void {
    this.loseState();
    this.bornAt = this.virtualClock.wallNow();
    this.startedAt = this.virtualClock.monotonicNow();
    this.isUp = false;
    const {incarnation} = this;
    void this.virtualClock
      .sleepUntil(this.startedAt + RESTART_MILLISECONDS)
      .then(() => {
        if (incarnation === this.incarnation) this.isUp = true;
      });
  }

  /**
   * Ends the worker for good. It is unreachable until `replacedAt`; from then
   * on a worker with another ID answers at its address.
   */
  replace(replacedAt: number): void {
    this.loseState();
    this.isUp = false;
    this.isEntryRetained = true;
    void this.virtualClock.sleepUntil(replacedAt).then(() => {
      this.isUp = true;
      this.isReplaced = true;
    });
  }

  start(order: StartOrder): StartOutcome {
    if (this.isReplaced) return refused('other-life', 0);
    this.settle();
    const clock = this.clock();
    if (order.fence < this.highestFencingToken) return refused('fenced', clock);
    this.highestFencingToken = order.fence;
    const current = this.runs.get(order.taskName);
    if (current?.attempt === order.attempt) return {kind: 'started', clock};
    this.extendLease(order.leaseEndWorkerMilliseconds);
    const ended = this.endedAttempts.get(order.taskName) ?? 0;
    if (current || order.attempt <= ended) return refused('superseded', clock);
    if (order.leaseEndWorkerMilliseconds <= clock) {
      return refused('late', clock);
    }
    const now = this.virtualClock.monotonicNow();
    this.runs.set(order.taskName, {
      attempt: order.attempt,
      startedAt: now,
      endsAt: now + this.random.integerBelow(this.longestRun()),
      kind: this.random.fraction() < FAILURE_SHARE ? 'failed' : 'done',
    });
    this.ledger.recordStart(order.taskName, this.id);
    this.checkCapacity();
    return {kind: 'started', clock};
  }

  stop(taskName: string, attempt: number, fencingToken: number): boolean {
    this.settle();
    if (fencingToken < this.highestFencingToken) return false;
    this.highestFencingToken = fencingToken;
    const run = this.runs.get(taskName);
    if (run && run.attempt <= attempt) this.endRun(taskName, run, 'stopped');
    const ended = this.endedAttempts.get(taskName) ?? 0;
    this.endedAttempts.set(taskName, Math.max(ended, attempt));
    return true;
  }

  poll(order: PollOrder): WorkerReport | undefined {
    this.settle();
    if (order.fence < this.highestFencingToken) return undefined;
    this.highestFencingToken = order.fence;
    if (order.leaseEndWorkerMilliseconds !== undefined) {
      this.extendLease(order.leaseEndWorkerMilliseconds);
    }
    for (const end of this.ends) {
      const isAcknowledged = end.number <= order.acknowledgedEnd;
      const isBinding = end.number > this.voidedUpTo;
      if (isAcknowledged && isBinding && end.kind === 'done') {
        this.ledger.recordDone(end.taskName);
      }
    }
    this.ends = this.ends.filter(end => end.number > order.acknowledgedEnd);
    return this.report();
  }

  /** Whether a poll can be answered immediately because runs have ended. */
  get hasEndedRuns(): boolean {
    this.settle();
    return this.ends.length > 0;
  }

  /** Ends the runs that are complete or whose lease has lapsed. */
  settle(): void {
    const now = this.virtualClock.monotonicNow();
    const leaseEndsAt = this.startedAt + this.leaseEnd / this.rate;
    // After the lease has lapsed, these tasks may be started elsewhere, so a
    // later acknowledgement of their ends does not count.
    if (leaseEndsAt <= now) this.voidedUpTo = this.endCount + this.runs.size;
    for (const [name, run] of [...this.runs]) {
      if (run.endsAt <= Math.min(now, leaseEndsAt)) {
        this.endRun(name, run, run.kind);
      } else if (leaseEndsAt <= now) {
        this.endRun(name, run, 'lapsed');
      }
    }
  }

  private loseState(): void {
    for (const name of this.runs.keys()) this.ledger.recordEnd(name, this.id);
    this.incarnation++;
    this.runs = new Map();
    this.ends = [];
    this.endCount = 0;
    this.voidedUpTo = 0;
    this.endedAttempts = new Map();
    this.highestFencingToken = 0;
    this.leaseEnd = 0;
  }

  private longestRun(): number {
    return this.random.fraction() < LONG_RUN_SHARE
      ? MAXIMUM_LONG_RUN_MILLISECONDS
      : MAXIMUM_SHORT_RUN_MILLISECONDS;
  }

  private report(): WorkerReport {
    return {
      clock: this.clock(),
      bornAtUnixMilliseconds: this.bornAt,
      running: [...this.runs].map(([taskName, run]) => ({
        taskName,
        attempt: run.attempt,
        checkpoint: '',
        progressPercent: 100,
        load: 0,
      })),
      ends: [...this.ends],
    };
  }

  private endRun(name: string, run: WorkerRun, kind: RunEnd['kind']): void {
    this.runs.delete(name);
    this.ledger.recordEnd(name, this.id);
    const ended = this.endedAttempts.get(name) ?? 0;
    this.endedAttempts.set(name, Math.max(ended, run.attempt));
    this.endCount++;
    this.ends.push({
      number: this.endCount,
      taskName: name,
      attempt: run.attempt,
      kind,
      checkpoint: '',
    });
  }

  private clock(): number {
    return Math.floor(
      (this.virtualClock.monotonicNow() - this.startedAt) * this.rate,
    );
  }

  private extendLease(leaseEnd: number): void {
    const longest = this.clock() + this.longestLeaseMilliseconds;
    this.leaseEnd = Math.max(this.leaseEnd, Math.min(leaseEnd, longest));
  }

  private checkCapacity(): void {
    let used = 0;
    for (const name of this.runs.keys()) used += this.demand(name);
    if (used > this.milliCores) {
      this.ledger.recordOverCommitment(this.id, used, this.milliCores);
    }
  }
}

function refused(
  reason: 'fenced' | 'superseded' | 'late' | 'other-life',
  clock: number,
): StartOutcome {
  return {kind: 'refused', reason, clock};
}
