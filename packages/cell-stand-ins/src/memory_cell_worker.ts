import type {
  PollOrder,
  RunEnd,
  StartOrder,
  StartOutcome,
  WorkerDescription,
  WorkerReport,
} from '@cardamomfield/cell-model';
import {
  type ManualClock,
  type RandomSource,
  SeededRandomSource,
} from '@cardamomfield/clock';
import type {MemoryGangs} from './memory_gangs.js';
import type {RunLedger} from './run_ledger.js';

interface RunEnding {
  at: number;
  kind: RunEnd['kind'];
}

interface WorkerRun {
  attempt: number;
  startedAt: number;
  endsAt: number;
  kind: 'done' | 'failed' | 'alone';
  /** How long it takes to kill the run. */
  killMilliseconds: number;
  /** The end of a run that is being killed. */
  killed: RunEnding | undefined;
  /** True once the worker's lease has lapsed since the run started. */
  hasLapsed: boolean;
}

interface MemoryCellWorkerOptions {
  id: string;
  milliCores: number;
  virtualClock: ManualClock;
  random: RandomSource;
  ledger: RunLedger;
  /** Processor demand of a task. */
  demand: (taskName: string) => number;
  longestLeaseMilliseconds?: number;
  /** Longest time until a run has ended that is stopped or has no lease. */
  killMilliseconds?: number;
  /** Longest time by which the worker notices the end of its lease late. */
  timerLatenessMilliseconds?: number;
  /** The gangs of the cell; without them no task is a member of one. */
  gangs?: MemoryGangs;
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

/** How long a member of a gang waits for the others. */
const GANG_WAIT_MILLISECONDS = 3_000;

/** Time until a run has failed on a worker that fails all that it starts. */
const QUICK_FAILURE_MILLISECONDS = 2;

/** Share of the kills that take the longest time. */
const SLOW_KILL_SHARE = 0.5;

const SEED_RANGE = 2 ** 30;

/**
 * In-memory worker that follows the platform's rules for fencing tokens,
 * leases and the list of ended runs.
 */
export class MemoryCellWorker {
  isUp = true;
  /** Whether the directory lists the worker. */
  isListed = true;
  isDraining = false;
  /** True once another worker answers at this worker's address. */
  isReplaced = false;
  /** True while the worker fails all runs that it starts. */
  failsStarts = false;
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
   * Numbers of the ends that were not acknowledged before the lease lapsed.
   * Acknowledging one of them no longer rules out a new run of its task.
   */
  private voidedEnds = new Set<number>();
  /** Highest attempt that ended or was stopped on this worker, by task. */
  private endedAttempts = new Map<string, number>();
  private readonly rate: number;
  private readonly killMilliseconds: number;
  private readonly timerLatenessMilliseconds: number;
  /** A source of its own, so that other draws don't depend on kill times. */
  private readonly killRandom: RandomSource | undefined;
  /** Time by which the worker notices the end of the current lease late. */
  private latenessMilliseconds = 0;
  private pausedSince: number | undefined;
  private resolveResumed: (() => void) | undefined;
  private resumed: Promise<void> = Promise.resolve();

  private constructor(private readonly options: MemoryCellWorkerOptions) {
    const {random, virtualClock, ledger, id} = options;
    this.rate = SLOWEST_RATE + random.fraction() * (1 - SLOWEST_RATE);
    this.bornAt = virtualClock.wallNow();
    this.startedAt = virtualClock.monotonicNow();
    this.killMilliseconds = options.killMilliseconds ?? 0;
    this.timerLatenessMilliseconds = options.timerLatenessMilliseconds ?? 0;
    if (this.killMilliseconds + this.timerLatenessMilliseconds > 0) {
      const seed = random.integerBelow(SEED_RANGE);
      this.killRandom = SeededRandomSource.create(seed);
    }
    ledger.addWorker(id, taskName => this.isRunning(taskName));
  }

  static create(options: MemoryCellWorkerOptions): MemoryCellWorker {
    return new MemoryCellWorker(options);
  }

  get id(): string {
    return this.options.id;
  }

  describe(): WorkerDescription {
    return {
      id: this.id,
      service: 'service',
      address: `${this.id}:1`,
      availabilityZone: 'zone',
      state: this.isDraining ? 'draining' : 'ready',
      milliCores: this.options.milliCores,
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
    this.isDraining = false;
    this.bornAt = this.options.virtualClock.wallNow();
    this.startedAt = this.options.virtualClock.monotonicNow();
    this.isUp = false;
    const {incarnation} = this;
    void this.options.virtualClock
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
    void this.options.virtualClock.sleepUntil(replacedAt).then(() => {
      this.isUp = true;
      this.isReplaced = true;
    });
  }

  get isPaused(): boolean {
    return this.pausedSince !== undefined;
  }

  /** Resolves as soon as the worker is not paused. */
  whenResumed(): Promise<void> {
    return this.resumed;
  }

  /**
   * Pauses the worker's processes: it answers nothing and its runs make no
   * progress. Its clock and its lease go on.
   */
  pause(): void {
    if (this.isPaused || !this.isUp) return;
    this.settle();
    this.pausedSince = this.options.virtualClock.monotonicNow();
    this.resumed = new Promise(resolve => {
      this.resolveResumed = resolve;
    });
  }

  resume(): void {
    if (this.pausedSince === undefined) return;
    const now = this.options.virtualClock.monotonicNow();
    for (const run of this.runs.values()) run.endsAt += now - this.pausedSince;
    this.pausedSince = undefined;
    this.settle();
    this.resolveResumed?.();
  }

  /** Carries out a start order that left its owner at `sentAt`. */
  start(
    order: StartOrder,
    sentAt = this.options.virtualClock.monotonicNow(),
  ): StartOutcome {
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
    const now = this.options.virtualClock.monotonicNow();
    const run: WorkerRun = {
      attempt: order.attempt,
      startedAt: now,
      endsAt: now + this.options.random.integerBelow(this.longestRun()),
      kind: this.options.random.fraction() < FAILURE_SHARE ? 'failed' : 'done',
      killMilliseconds: this.drawKillMilliseconds(),
      killed: undefined,
      hasLapsed: false,
    };
    if (this.failsStarts) {
      run.endsAt = now + QUICK_FAILURE_MILLISECONDS;
      run.kind = 'failed';
    }
    this.runs.set(order.taskName, run);
    this.options.ledger.recordStart(order.taskName, this.id, sentAt);
    this.options.ledger.failures.recordStart(order.taskName, now);
    this.checkCapacity();
    this.joinGang(order.taskName, run);
    return {kind: 'started', clock};
  }

  /** Lets a run work only together with the other members of its gang. */
  private joinGang(taskName: string, run: WorkerRun): void {
    const {gangs, virtualClock} = this.options;
    if (!gangs?.isMember(taskName)) return;
    const now = virtualClock.monotonicNow();
    const aloneAt = now + GANG_WAIT_MILLISECONDS;
    if (run.kind === 'done' || run.endsAt > aloneAt) {
      run.endsAt = aloneAt;
      run.kind = 'alone';
    }
    gangs.join(taskName, run.attempt, {
      complete: at => {
        if (run.kind === 'failed' && run.endsAt < at) return;
        run.endsAt = at;
        run.kind = 'done';
      },
      break: () => {
        const breaksAt = virtualClock.monotonicNow();
        // It has failed by itself, and its end has not been recorded yet.
        if (run.kind === 'failed' && run.endsAt <= breaksAt) return;
        const killedAt = breaksAt + run.killMilliseconds;
        run.killed ??= {at: killedAt, kind: 'broken'};
      },
    });
  }

  stop(taskName: string, attempt: number, fencingToken: number): boolean {
    this.settle();
    if (fencingToken < this.highestFencingToken) return false;
    this.highestFencingToken = fencingToken;
    const run = this.runs.get(taskName);
    if (run && run.attempt <= attempt) {
      run.killed ??= {
        at: this.options.virtualClock.monotonicNow() + run.killMilliseconds,
        kind: 'stopped',
      };
      this.settle();
    }
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
      const isBinding = !this.voidedEnds.has(end.number);
      if (isAcknowledged && isBinding) this.recordAcknowledgement(end);
    }
    this.ends = this.ends.filter(end => end.number > order.acknowledgedEnd);
    return this.report();
  }

  /** One member that is done represents its gang. */
  private recordAcknowledgement(end: RunEnd): void {
    const {ledger, gangs} = this.options;
    const {taskName, attempt, kind} = end;
    if (kind === 'failed') {
      ledger.failures.recordAcknowledgement(taskName, attempt);
    } else if (kind === 'done') {
      for (const member of gangs?.memberNames(taskName) ?? [taskName]) {
        ledger.recordDone(member);
      }
    }
  }

  /** Whether a poll can be answered immediately because runs have ended. */
  get hasEndedRuns(): boolean {
    this.settle();
    return this.ends.length > 0;
  }

  /** Ends the runs that are complete or whose lease has lapsed. */
  settle(): void {
    if (this.isPaused) return;
    const now = this.options.virtualClock.monotonicNow();
    if (this.lapsesAt <= now) this.lapse();
    for (const [name, run] of [...this.runs]) {
      const {at, kind} = this.endOf(run);
      if (at <= now) this.endRun(name, run, kind);
    }
  }

  /** The time at which the worker notices that its lease has ended. */
  private get lapsesAt(): number {
    return (
      this.startedAt + this.leaseEnd / this.rate + this.latenessMilliseconds
    );
  }

  /**
   * Begins to kill what runs. These tasks may be started elsewhere, so a later
   * acknowledgement of their ends does not count.
   */
  private lapse(): void {
    for (const end of this.ends) this.voidedEnds.add(end.number);
    for (const run of this.runs.values()) {
      if (run.endsAt > this.lapsesAt) run.killed ??= this.endOf(run);
      run.hasLapsed = true;
    }
  }

  /** When and how a run ends if the lease is not renewed. */
  private endOf(run: WorkerRun): RunEnding {
    if (run.killed) return run.killed;
    const {lapsesAt} = this;
    // A paused process does no work, so a run that a pause has hidden counts as
    // ended once the lease has lapsed and the time to kill it has passed.
    return run.endsAt <= lapsesAt && !this.isPaused
      ? {at: run.endsAt, kind: run.kind}
      : {at: lapsesAt + run.killMilliseconds, kind: 'lapsed'};
  }

  /** Whether a task is still at work, also if its end is recorded later. */
  private isRunning(taskName: string): boolean {
    const run = this.runs.get(taskName);
    const now = this.options.virtualClock.monotonicNow();
    return run !== undefined && this.endOf(run).at > now;
  }

  private loseState(): void {
    for (const [name, {attempt}] of this.runs) {
      this.options.ledger.recordEnd(name, this.id);
      this.options.gangs?.break(name, attempt);
    }
    this.incarnation++;
    this.pausedSince = undefined;
    this.resolveResumed?.();
    this.runs = new Map();
    this.ends = [];
    this.endCount = 0;
    this.voidedEnds = new Set();
    this.endedAttempts = new Map();
    this.highestFencingToken = 0;
    this.leaseEnd = 0;
  }

  private longestRun(): number {
    return this.options.random.fraction() < LONG_RUN_SHARE
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
      hasMoreEnds: false,
    };
  }

  private endRun(name: string, run: WorkerRun, kind: RunEnd['kind']): void {
    this.runs.delete(name);
    this.options.ledger.recordEnd(name, this.id);
    const ended = this.endedAttempts.get(name) ?? 0;
    this.endedAttempts.set(name, Math.max(ended, run.attempt));
    if (kind === 'failed') {
      const now = this.options.virtualClock.monotonicNow();
      this.options.ledger.failures.recordFailure(name, run.attempt, now);
    }
    if (kind !== 'done') this.options.gangs?.break(name, run.attempt);
    this.endCount++;
    if (run.hasLapsed) this.voidedEnds.add(this.endCount);
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
      (this.options.virtualClock.monotonicNow() - this.startedAt) * this.rate,
    );
  }

  private extendLease(leaseEnd: number): void {
    const {longestLeaseMilliseconds = LONGEST_LEASE_MILLISECONDS} =
      this.options;
    const longest = this.clock() + longestLeaseMilliseconds;
    const extended = Math.min(leaseEnd, longest);
    if (extended <= this.leaseEnd) return;
    this.leaseEnd = extended;
    this.latenessMilliseconds =
      this.timerLatenessMilliseconds * (this.killRandom?.fraction() ?? 0);
  }

  private drawKillMilliseconds(): number {
    if (!this.killRandom) return 0;
    const isSlow = this.killRandom.fraction() < SLOW_KILL_SHARE;
    return isSlow
      ? this.killMilliseconds
      : this.killMilliseconds * this.killRandom.fraction();
  }

  private checkCapacity(): void {
    let used = 0;
    for (const name of this.runs.keys()) used += this.options.demand(name);
    if (used > this.options.milliCores) {
      this.options.ledger.recordOverCommitment(
        this.id,
        used,
        this.options.milliCores,
      );
    }
  }
}

function refused(
  reason: 'fenced' | 'superseded' | 'late' | 'other-life',
  clock: number,
): StartOutcome {
  return {kind: 'refused', reason, clock};
}
