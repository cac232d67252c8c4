import type {
  PollOrder,
  RunEnd,
  StartOrder,
  StartOutcome,
  WorkerDescription,
  WorkerReport,
} from '@cardamomfield/cell-model';
import type {ManualClock, RandomSource} from '@cardamomfield/clock';
import type {PromiseLedger} from './promise_ledger.js';

interface WorkerRun {
  attempt: number;
  startedAt: number;
  endsAt: number;
  kind: 'done' | 'failed';
}

/** Slowest rate of a worker's clock. */
const SLOWEST_RATE = 0.98;

const LONGEST_RUN_MILLISECONDS = 4_000;

/** Some runs outlast every lease. */
const LONG_RUN_SHARE = 0.15;
const LONG_RUN_MILLISECONDS = 40_000;
const FAILURE_SHARE = 0.05;
/** How long a worker is away when it restarts. */
const RESTART_MILLISECONDS = 500;

const LONGEST_LEASE_MILLISECONDS = 10_000;

/** A worker as the platform describes it: fences, leases, listed ends. */
export class MemoryCellWorker {
  isUp = true;
  /** Whether the directory shows the worker. */
  isListed = true;
  private bornAt: number;
  private startedAt: number;
  private highestFence = 0;
  private leaseEnd = 0;
  private runs = new Map<string, WorkerRun>();
  private ends: RunEnd[] = [];
  private endCount = 0;
  /** Ends up to this number were listed when the lease lapsed. */
  private bindingFrom = 0;
  /** Highest attempt that ended or was stopped here, by task. */
  private endedAttempts = new Map<string, number>();
  private readonly rate: number;

  private constructor(
    readonly id: string,
    private readonly milliCores: number,
    private readonly base: ManualClock,
    private readonly random: RandomSource,
    private readonly ledger: PromiseLedger,
    private readonly demand: (taskName: string) => number,
    private readonly longestLeaseMilliseconds: number,
  ) {
    this.rate = SLOWEST_RATE + random.fraction() * (1 - SLOWEST_RATE);
    this.bornAt = base.wallNow();
    this.startedAt = base.monotonicNow();
  }

  static create(
    id: string,
    milliCores: number,
    base: ManualClock,
    random: RandomSource,
    ledger: PromiseLedger,
    demand: (taskName: string) => number,
    longestLeaseMilliseconds: number = LONGEST_LEASE_MILLISECONDS,
  ): MemoryCellWorker {
    return new MemoryCellWorker(
      id,
      milliCores,
      base,
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
  life = 0;

  /** The worker dies and starts again under its id, knowing nothing. */
  restart(): void {
    for (const name of this.runs.keys()) this.ledger.ended(name, this.id);
    this.life++;
    this.runs = new Map();
    this.ends = [];
    this.endCount = 0;
    this.bindingFrom = 0;
    this.endedAttempts = new Map();
    this.highestFence = 0;
    this.leaseEnd = 0;
    this.bornAt = this.base.wallNow();
    this.startedAt = this.base.monotonicNow();
    this.isUp = false;
    const {life} = this;
    void this.base
      .sleepUntil(this.startedAt + RESTART_MILLISECONDS)
      .then(() => {
        if (life === this.life) this.isUp = true;
      });
  }

  start(order: StartOrder): StartOutcome {
    this.settle();
    const clock = this.clock();
    if (order.fence < this.highestFence) return refused('fenced', clock);
    this.highestFence = order.fence;
    const present = this.runs.get(order.taskName);
    if (present?.attempt === order.attempt) return {kind: 'started', clock};
    this.extend(order.leaseEndWorkerMilliseconds);
    const ended = this.endedAttempts.get(order.taskName) ?? 0;
    if (present || order.attempt <= ended) return refused('superseded', clock);
    if (order.leaseEndWorkerMilliseconds <= clock) {
      return refused('late', clock);
    }
    const now = this.base.monotonicNow();
    this.runs.set(order.taskName, {
      attempt: order.attempt,
      startedAt: now,
      endsAt: now + this.random.integerBelow(this.longestRun()),
      kind: this.random.fraction() < FAILURE_SHARE ? 'failed' : 'done',
    });
    this.ledger.started(order.taskName, this.id);
    this.checkCapacity();
    return {kind: 'started', clock};
  }

  stop(taskName: string, attempt: number, fence: number): boolean {
    this.settle();
    if (fence < this.highestFence) return false;
    this.highestFence = fence;
    const run = this.runs.get(taskName);
    if (run && run.attempt <= attempt) this.finish(taskName, run, 'stopped');
    const ended = this.endedAttempts.get(taskName) ?? 0;
    this.endedAttempts.set(taskName, Math.max(ended, attempt));
    return true;
  }

  look(order: PollOrder): WorkerReport | undefined {
    this.settle();
    if (order.fence < this.highestFence) return undefined;
    this.highestFence = order.fence;
    if (order.leaseEndWorkerMilliseconds !== undefined) {
      this.extend(order.leaseEndWorkerMilliseconds);
    }
    for (const end of this.ends) {
      const isTakenNoteOf = end.number <= order.acknowledgedEnd;
      const isBinding = end.number > this.bindingFrom;
      if (isTakenNoteOf && isBinding && end.kind === 'done') {
        this.ledger.acknowledgedDone(end.taskName);
      }
    }
    this.ends = this.ends.filter(end => end.number > order.acknowledgedEnd);
    return this.report();
  }

  /** True while a look has something to tell at once. */
  get hasEnds(): boolean {
    this.settle();
    return this.ends.length > 0;
  }

  /** Ends runs whose time or lease is over. */
  settle(): void {
    const now = this.base.monotonicNow();
    const leaseEndsAt = this.startedAt + this.leaseEnd / this.rate;
    // An end that was not taken note of before the lease lapsed binds nobody.
    if (leaseEndsAt <= now) this.bindingFrom = this.endCount + this.runs.size;
    for (const [name, run] of [...this.runs]) {
      if (run.endsAt <= Math.min(now, leaseEndsAt)) {
        this.finish(name, run, run.kind);
      } else if (leaseEndsAt <= now) {
        this.finish(name, run, 'lapsed');
      }
    }
  }

  private longestRun(): number {
    return this.random.fraction() < LONG_RUN_SHARE
      ? LONG_RUN_MILLISECONDS
      : LONGEST_RUN_MILLISECONDS;
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

  private finish(name: string, run: WorkerRun, kind: RunEnd['kind']): void {
    this.runs.delete(name);
    this.ledger.ended(name, this.id);
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
    return Math.floor((this.base.monotonicNow() - this.startedAt) * this.rate);
  }

  private extend(leaseEnd: number): void {
    const longest = this.clock() + this.longestLeaseMilliseconds;
    this.leaseEnd = Math.max(this.leaseEnd, Math.min(leaseEnd, longest));
  }

  private checkCapacity(): void {
    let used = 0;
    for (const name of this.runs.keys()) used += this.demand(name);
    if (used > this.milliCores) {
      this.ledger.overCommitted(this.id, used, this.milliCores);
    }
  }
}

function refused(
  reason: 'fenced' | 'superseded' | 'late',
  clock: number,
): StartOutcome {
  return {kind: 'refused', reason, clock};
}
