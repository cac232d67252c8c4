import type {ShardLog, ShardRecord} from '@cardamomfield/cell-model';
import {type Clock, FreezeGuard, Notifier} from '@cardamomfield/clock';
import {
  CancelledError,
  ConflictError,
  type TypedError,
} from '@cardamomfield/errors';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';
import {type Either, Left, Right} from 'purify-ts';

/**
 * How long one proof of the epoch allows orders that extend or add work. A new
 * owner waits for this span plus the longest lease before it takes over tasks
 * of a worker that it cannot reach.
 */
const PROOF_VALID_MILLISECONDS = 3_000;

/** An idle journal proves its epoch this often; a third of the proof's span. */
const IDLE_PROOF_MILLISECONDS = 1_000;

/** Pause after a failed append; short against the proof's span. */
const RETRY_PAUSE_MILLISECONDS = 60;

/** Most bytes of one append; half of what the log takes in one call. */
const MAXIMUM_BATCH_BYTES = 1_000_000;

/** An append without success for this long means that the log is down. */
const LOG_DOWN_MILLISECONDS = 600;

/** Changes are sent beside an append that has taken this long. */
const OVERLAP_MILLISECONDS = 40;

/** A call is unusually slow once it takes this many times the last one. */
const USUAL_FACTOR = 1.5;

/** Appends in flight; the log recognises repeats of the last five. */
const MAXIMUM_PENDING_APPENDS = 4;

/** Pause of an append that overtook the one before it. */
const REORDER_PAUSE_MILLISECONDS = 10;

/** One append that has not succeeded yet. */
interface PendingAppend {
  records: ShardRecord[];
  sequence: number;
  /** Monotonic time at which it was first sent. */
  sentAt: number;
  isDone: boolean;
  /** Everything up to this batch is durable once the append succeeds. */
  completedBatch: number;
}

interface Waiter {
  batch: number;
  resolve: (result: Either<TypedError, void>) => void;
}

interface ShardJournalOptions {
  log: ShardLog;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  epoch: number;
  /** Sequence number of the next append. */
  nextSequence: number;
  /** Monotonic time at which the claim was sent. */
  provedAt: number;
  /** The present value of a key; empty removes it. */
  encode: (key: string) => string;
  onLost: () => void;
}

/**
 * Writes the newest values of changed keys to the shard's log. What changes
 * during an append goes into the next one; while the log is slow, a few appends
 * are in flight, which the log takes in their order. Successful appends prove
 * that no other owner has a higher epoch.
 */
export class ShardJournal {
  private changed = new Set<string>();
  private waiters: Waiter[] = [];
  /** Appends without success so far, oldest first. */
  private readonly pendingAppends: PendingAppend[] = [];
  /** Number of the batch that changes marked now will be part of. */
  private openBatch = 1;
  private provedAt: number;
  private failingSince: number | undefined;
  /** Monotonic time at which the call in flight was first sent. */
  private pendingSince: number | undefined;
  /** How long the last call that succeeded took. */
  private answerMilliseconds = 0;
  private readonly freezeGuard: FreezeGuard;
  private isStopped = false;
  private freezes = 0;
  private readonly wakeUp: Notifier;
  private nextSequence: number;

  private constructor(private readonly options: ShardJournalOptions) {
    this.provedAt = options.provedAt;
    this.nextSequence = options.nextSequence;
    this.wakeUp = Notifier.create(options.clock);
    this.freezeGuard = FreezeGuard.create(options.clock);
  }

  static create(options: ShardJournalOptions): ShardJournal {
    return new ShardJournal(options);
  }

  get epoch(): number {
    return this.options.epoch;
  }

  /** Marks a key whose value changed. */
  mark(key: string): void {
    this.changed.add(key);
    this.wakeUp.notify();
  }

  /**
   * Takes back the mark of a key whose value was never sent to the log. False
   * when it was, so that the value may be durable now or later.
   */
  withdraw(key: string): boolean {
    return this.changed.delete(key);
  }

  /** Resolves once everything marked so far is durable. */
  commit(): Promise<Either<TypedError, void>> {
    if (this.isStopped) return Promise.resolve(Left(lostError()));
    const batch = this.changed.size > 0 ? this.openBatch : this.openBatch - 1;
    return new Promise(resolve => {
      this.waiters.push({batch, resolve});
      this.wakeUp.notify();
    });
  }

  /** True while the last proof of the epoch is recent enough for orders. */
  hasAuthority(): boolean {
    this.checkForFreeze();
    const age = this.options.clock.monotonicNow() - this.provedAt;
    return !this.isStopped && age < PROOF_VALID_MILLISECONDS;
  }

  /** How often this process stood still; what it knew may be stale then. */
  get freezeCount(): number {
    this.checkForFreeze();
    return this.freezes;
  }

  /** True while appends have failed for so long that new work is refused. */
  isLogDown(): boolean {
    return this.logDownMilliseconds > LOG_DOWN_MILLISECONDS;
  }

  /** How long the present call has been without success; 0 when idle. */
  get logDownMilliseconds(): number {
    if (this.pendingSince === undefined) return 0;
    return this.options.clock.monotonicNow() - this.pendingSince;
  }

  /** True from the first failed append until one succeeds again. */
  isLogFailing(): boolean {
    return this.failingSince !== undefined;
  }

  static get proofValidMilliseconds(): number {
    return PROOF_VALID_MILLISECONDS;
  }

  /** Appends until stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      if (this.pendingAppends.length > 0) {
        await this.overlap();
      } else if (this.changed.size === 0) {
        this.resolveWaiters(this.openBatch - 1, Right(undefined));
        await this.proveWhenIdle();
      } else if (this.isLogFailing()) {
        // Changes stay here until the log answers, so that none is in doubt.
        await this.prove();
      } else {
        this.sendChanges();
      }
    }
  }

  stop(): void {
    if (this.isStopped) return;
    this.isStopped = true;
    this.resolveWaiters(Infinity, Left(lostError()));
    this.wakeUp.notify();
  }

  private async proveWhenIdle(): Promise<void> {
    const {clock} = this.options;
    const dueAt = this.provedAt + IDLE_PROOF_MILLISECONDS;
    await this.wakeUp.wait(dueAt);
    if (this.isStopped || this.changed.size > 0) return;
    if (clock.monotonicNow() >= dueAt) await this.prove();
  }

  private async prove(): Promise<void> {
    const {clock, log} = this.options;
    const sentAt = clock.monotonicNow();
    const freezes = this.freezeCount;
    // Without an answer to the proof, changes made meanwhile wait as well.
    this.pendingSince ??= sentAt;
    const result = await log.confirmEpoch(this.options.epoch);
    if (await this.settle(result, sentAt, freezes)) {
      this.pendingSince = undefined;
    }
  }

  /** Sends changes beside an append that takes long. */
  private async overlap(): Promise<void> {
    const newest = this.pendingAppends.at(-1);
    if (!newest || this.changed.size === 0 || !this.mayOverlap()) {
      await this.wakeUp.wait();
      return;
    }
    const dueAt = newest.sentAt + OVERLAP_MILLISECONDS;
    if (this.options.clock.monotonicNow() >= dueAt) this.sendChanges();
    else await this.wakeUp.wait(dueAt);
  }

  /**
   * True while the log is slow but answers. What is sent into an outage is in
   * doubt, so nothing is sent beside a call that takes longer than usual.
   */
  private mayOverlap(): boolean {
    if (
      this.isLogFailing() ||
      this.pendingAppends.length >= MAXIMUM_PENDING_APPENDS
    ) {
      return false;
    }
    return (
      this.answerMilliseconds >= OVERLAP_MILLISECONDS &&
      this.logDownMilliseconds < this.answerMilliseconds * USUAL_FACTOR
    );
  }

  private sendChanges(): void {
    const chunks = this.takeChunks();
    const batch = this.openBatch++;
    for (const [index, records] of chunks.entries()) {
      const pending: PendingAppend = {
        records,
        sequence: this.nextSequence++,
        sentAt: this.options.clock.monotonicNow(),
        isDone: false,
        completedBatch: index === chunks.length - 1 ? batch : batch - 1,
      };
      this.pendingAppends.push(pending);
      this.pendingSince ??= pending.sentAt;
      void this.append(pending);
    }
  }

  /** Repeats an append until it or a later one has succeeded. */
  private async append(pending: PendingAppend): Promise<void> {
    while (!pending.isDone && !this.isStopped) {
      // The log takes appends in their order: the oldest one is repeated first.
      if (this.isLogFailing() && this.pendingAppends[0] !== pending) {
        await this.wakeUp.wait();
        continue;
      }
      const sentAt = this.options.clock.monotonicNow();
      const freezes = this.freezeCount;
      const result = await this.options.log.append(
        pending.records,
        this.options.epoch,
        pending.sequence,
      );
      if (pending.isDone || this.isStopped) return;
      if (isOutOfOrder(result)) {
        await this.options.clock.sleepUntil(
          this.options.clock.monotonicNow() + REORDER_PAUSE_MILLISECONDS,
        );
      } else if (await this.settle(result, sentAt, freezes)) {
        this.complete(pending);
      }
    }
  }

  /** An append that succeeded proves that those before it have too. */
  private complete(newest: PendingAppend): void {
    const index = this.pendingAppends.indexOf(newest);
    for (const pending of this.pendingAppends.splice(0, index + 1)) {
      pending.isDone = true;
    }
    this.pendingSince = this.pendingAppends[0]?.sentAt;
    this.resolveWaiters(newest.completedBatch, Right(undefined));
    this.wakeUp.notify();
  }

  /**
   * All changed records, split so that each part fits one append. Removals come
   * last: what replaces a removed record is never durable after its removal.
   */
  private takeChunks(): ShardRecord[][] {
    const records = [...this.changed].map(key => ({
      key,
      value: this.options.encode(key),
    }));
    this.changed.clear();
    const chunks: ShardRecord[][] = [[]];
    let bytes = 0;
    for (const record of [
      ...records.filter(({value}) => value !== ''),
      ...records.filter(({value}) => value === ''),
    ]) {
      if (bytes > 0 && bytes + record.value.length > MAXIMUM_BATCH_BYTES) {
        chunks.push([]);
        bytes = 0;
      }
      bytes += record.value.length + record.key.length;
      chunks.at(-1)?.push(record);
    }
    return chunks;
  }

  /** Books the outcome of a call; false asks for another try. */
  private async settle(
    result: Either<TypedError, void>,
    sentAt: number,
    freezesBefore: number,
  ): Promise<boolean> {
    const {clock, logger, metrics} = this.options;
    metrics.timing('log_append_milliseconds', clock.monotonicNow() - sentAt, {
      outcome: result.isRight()
        ? 'done'
        : (result.extract() as TypedError).code,
    });
    if (result.isRight()) {
      // A call that was under way during a freeze may be older than it seems.
      if (this.freezeCount === freezesBefore) {
        this.provedAt = Math.max(this.provedAt, sentAt);
      }
      this.answerMilliseconds = clock.monotonicNow() - sentAt;
      this.freezeGuard.settle();
      if (this.failingSince !== undefined) {
        const milliseconds = Math.round(
          clock.monotonicNow() - this.failingSince,
        );
        logger.info('shard log regained', {epoch: this.epoch, milliseconds});
      }
      this.failingSince = undefined;
      return true;
    }
    const error = result.extract() as TypedError;
    if (error instanceof ConflictError) {
      logger.warn('shard lost to another owner', {
        epoch: this.epoch,
        cause: error.message,
      });
      this.stop();
      this.options.onLost();
      return false;
    }
    if (this.failingSince === undefined) {
      this.failingSince = clock.monotonicNow();
      logger.warn('shard log lost', {epoch: this.epoch, cause: error.message});
    }
    await clock.sleepUntil(clock.monotonicNow() + RETRY_PAUSE_MILLISECONDS);
    return false;
  }

  private resolveWaiters(upTo: number, result: Either<TypedError, void>): void {
    const ready = this.waiters.filter(waiter => waiter.batch <= upTo);
    if (ready.length === 0) return;
    this.waiters = this.waiters.filter(waiter => waiter.batch > upTo);
    for (const waiter of ready) waiter.resolve(result);
  }

  /** The monotonic clock does not count a freeze of the process. */
  private checkForFreeze(): void {
    const drift = this.freezeGuard.takeFreeze();
    if (drift === 0) return;
    this.freezes++;
    this.provedAt = -Infinity;
    this.wakeUp.notify();
    this.options.logger.warn('clocks parted; epoch must be proved again', {
      epoch: this.epoch,
      driftMilliseconds: Math.round(drift),
    });
  }
}

function isOutOfOrder(result: Either<TypedError, void>): boolean {
  if (result.isRight()) return false;
  return (result.extract() as TypedError).details.isOutOfOrder === true;
}

function lostError(): TypedError {
  return CancelledError.create('this host does not own the shard any more');
}
