import type {ShardLog, ShardRecord} from '@cardamomfield/cell-model';
import {type Clock, PauseDetector, Notifier} from '@cardamomfield/clock';
import {
  CancelledError,
  ConflictError,
  InvalidInputError,
  type TypedError,
} from '@cardamomfield/errors';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';
import {type Either, Left, Right} from 'purify-ts';
import {LeaseTerms} from './lease_terms.js';

/** How long after a proof of the epoch the owner may start runs. */
const PROOF_VALID_MILLISECONDS = 3_000;

/**
 * Interval between proofs of the epoch while nothing is appended: a third of
 * the time for which a proof is valid.
 */
const IDLE_PROOF_MILLISECONDS = 1_000;

/**
 * Shortest time between two proofs of the epoch on request. Requests that
 * arrive meanwhile share the next one, which bounds the calls of the log.
 */
const REQUESTED_PROOF_INTERVAL_MILLISECONDS = 25;

/** Delay after a failed call; short compared with the validity of a proof. */
const RETRY_DELAY_MILLISECONDS = 60;

/** Age of the proof that is stated after a process pause has invalidated it. */
const UNPROVED_MILLISECONDS = 1e9;

/** Maximum size of one append, as a share of what the log accepts in a call. */
const BATCH_SHARE = 0.5;

/** Bytes that a log may add to a record, for the lengths of key and value. */
const RECORD_OVERHEAD_BYTES = 16;

/** The log refuses an append this often before a record of it is replaced. */
const REFUSALS_BEFORE_REPLACEMENT = 3;

/** Every log accepts records up to this size. */
const ALWAYS_ACCEPTED_BYTES = 16_384;

/** The log counts as down once a call has not succeeded for this long. */
const LOG_DOWN_MILLISECONDS = 600;

/** A further append may be sent while one has been in flight this long. */
const OVERLAP_MILLISECONDS = 40;

/**
 * A call is unusually slow once it takes this many times as long as the last
 * successful one.
 */
const SLOW_CALL_FACTOR = 1.5;

/**
 * Maximum number of appends in flight. The log recognises repeats of the last
 * five appends.
 */
const MAXIMUM_PENDING_APPENDS = 4;

/** Delay before an append that arrived before its predecessor is repeated. */
const REORDER_DELAY_MILLISECONDS = 10;

/** Interval between the turns of the event loop that are recorded. */
const TURN_INTERVAL_MILLISECONDS = 100;

/** Time without a recorded turn above which the process counts as stalled. */
const STALL_LIMIT_MILLISECONDS = 400;

/** One append that has not succeeded yet. */
interface PendingAppend {
  records: ShardRecord[];
  sequence: number;
  /** Number of the call that sent it first. */
  call: number;
  /** Monotonic time at which it was first sent. */
  sentAt: number;
  isDone: boolean;
  /** How often the log has refused the records themselves. */
  refusals: number;
  /** All batches up to this one are durable once the append succeeds. */
  completedBatch: number;
}

interface Waiter {
  /** All changes up to this batch must be durable. */
  batch: number;
  /** The epoch must be proved by this call of the log or a later one. */
  call: number;
  resolve: (result: Either<TypedError, void>) => void;
}

interface LogLimits {
  /** Largest record that the log accepts, in bytes. */
  recordBytes: number;
  /** Largest append that the log accepts, in bytes. */
  requestBytes: number;
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
  /** The current value of a key. An empty value removes the key. */
  encode: (key: string) => string;
  limits: LogLimits;
  /**
   * Gives up the work that a record belongs to, because the log cannot take the
   * record. Returns the record to append instead.
   */
  replace: (key: string) => ShardRecord;
  onLost: () => void;
}

/**
 * Writes the newest values of changed keys to the shard's log. Changes made
 * during an append go into the next one. While the log is slow, several appends
 * may be in flight, and the log applies them in order. A successful append
 * proves that no other owner has a higher epoch.
 */
export class ShardJournal {
  private changedKeys = new Set<string>();
  private waiters: Waiter[] = [];
  /** Keys that were sent, by batch, as long as the batch is not durable. */
  private readonly sentKeys = new Map<number, ReadonlySet<string>>();
  /** Appends without success so far, oldest first. */
  private readonly pendingAppends: PendingAppend[] = [];
  /** Number of the batch that newly marked changes belong to. */
  private openBatch = 1;
  /** All batches up to this one are durable. */
  private durableBatch = 0;
  /** Number of calls of the log so far; a repeated append counts once. */
  private callCount = 0;
  /** The newest call that has succeeded. */
  private provedCall = 0;
  /** Calls in flight that prove the epoch without an append. */
  private readonly proofsInFlight = new Set<number>();
  private provedAt: number;
  private failingSince: number | undefined;
  /** Monotonic time at which the oldest pending call was first sent. */
  private pendingSince: number | undefined;
  /** Duration of the last successful call. */
  private lastCallMilliseconds = 0;
  private readonly pauseDetector: PauseDetector;
  private isStopped = false;
  private pauses = 0;
  private stalls = 0;
  /** Monotonic time of the last recorded turn of the event loop. */
  private lastTurnAt: number;
  private readonly wakeUp: Notifier;
  private nextSequence: number;

  private constructor(private readonly options: ShardJournalOptions) {
    this.provedAt = options.provedAt;
    this.lastTurnAt = options.clock.monotonicNow();
    this.nextSequence = options.nextSequence;
    this.wakeUp = Notifier.create(options.clock);
    this.pauseDetector = PauseDetector.create(options.clock);
  }

  static create(options: ShardJournalOptions): ShardJournal {
    return new ShardJournal(options);
  }

  get epoch(): number {
    return this.options.epoch;
  }

  /** Marks a key whose value changed. */
  mark(key: string): void {
    this.changedKeys.add(key);
    this.wakeUp.notify();
  }

  /**
   * Removes the mark of a key whose value has not been sent to the log. Returns
   * false if it has been sent, in which case it is or may yet become durable.
   */
  withdraw(key: string): boolean {
    if (!this.changedKeys.has(key)) return false;
    const isSent = [...this.sentKeys.values()].some(keys => keys.has(key));
    return !isSent && this.changedKeys.delete(key);
  }

  /** Resolves once all changes marked so far are durable. */
  commit(): Promise<Either<TypedError, void>> {
    return this.waitFor(0);
  }

  /**
   * As `commit`, and a call of the log that was sent after this one has proved
   * the epoch. No later owner had then accepted or ended a submission when this
   * method was called. Concurrent requests share the call.
   */
  prove(): Promise<Either<TypedError, void>> {
    return this.waitFor(this.callCount + 1);
  }

  private waitFor(call: number): Promise<Either<TypedError, void>> {
    if (this.isStopped) return Promise.resolve(Left(lostError()));
    const batch =
      this.changedKeys.size > 0 ? this.openBatch : this.openBatch - 1;
    if (batch <= this.durableBatch && call <= this.provedCall) {
      return Promise.resolve(Right(undefined));
    }
    return new Promise(resolve => {
      this.waiters.push({batch, call, resolve});
      this.wakeUp.notify();
    });
  }

  /** Age of the last proof of the epoch. */
  get proofAgeMilliseconds(): number {
    this.checkForPause();
    const age = this.options.clock.monotonicNow() - this.provedAt;
    return Math.min(age, UNPROVED_MILLISECONDS);
  }

  /** True while the last proof of the epoch is recent enough to send orders. */
  hasAuthority(): boolean {
    this.checkForPause();
    const age = this.options.clock.monotonicNow() - this.provedAt;
    return !this.isStopped && age < PROOF_VALID_MILLISECONDS;
  }

  /**
   * Monotonic time after which no lease may end: a later owner may have taken
   * over any time after the last proof of the epoch.
   */
  get leaseLimit(): number {
    this.checkForPause();
    if (this.isStopped) return -Infinity;
    return this.provedAt + LeaseTerms.afterProofMilliseconds;
  }

  /**
   * Number of process pauses detected so far. State read before a pause may be
   * stale.
   */
  get pauseCount(): number {
    this.checkForPause();
    return this.pauses;
  }

  /**
   * Number of pauses and stalls detected so far. A worker may have restarted
   * unnoticed during either.
   */
  get interruptionCount(): number {
    this.checkForPause();
    return this.pauses + this.stalls;
  }

  /** True while appends have failed for so long that new work is refused. */
  isLogDown(): boolean {
    return this.logDownMilliseconds > LOG_DOWN_MILLISECONDS;
  }

  /**
   * How long the oldest pending call has been without success; 0 when no call
   * is pending.
   */
  get logDownMilliseconds(): number {
    if (this.pendingSince === undefined) return 0;
    return this.options.clock.monotonicNow() - this.pendingSince;
  }

  /** True from the first failed append until one succeeds again. */
  isLogFailing(): boolean {
    return this.failingSince !== undefined;
  }

  /** Appends until stopped. */
  async run(): Promise<void> {
    this.lastTurnAt = this.options.clock.monotonicNow();
    await Promise.all([
      this.appendChanges(),
      this.proveOnRequest(),
      this.recordTurns(),
    ]);
  }

  private async appendChanges(): Promise<void> {
    while (!this.isStopped) {
      if (this.pendingAppends.length > 0) {
        await this.overlapAppends();
      } else if (this.changedKeys.size === 0) {
        // Nothing is left to append, so a withdrawn change holds up no waiter.
        this.durableBatch = this.openBatch++;
        this.resolveWaiters();
        if (this.waiters.length > 0) this.wakeUp.notify();
        await this.proveEpochWhenIdle();
      } else if (this.isLogFailing()) {
        // Changes are held back until the log answers. A change that was sent
        // but not answered would be in doubt.
        await this.proveEpoch();
      } else {
        this.sendChanges();
      }
    }
  }

  /** Proves the epoch for requests that no other call in flight proves it for. */
  private async proveOnRequest(): Promise<void> {
    const {clock} = this.options;
    while (!this.isStopped) {
      if (!this.isProofRequested()) {
        await this.wakeUp.wait();
        continue;
      }
      const nextAt =
        clock.monotonicNow() + REQUESTED_PROOF_INTERVAL_MILLISECONDS;
      await this.proveEpoch();
      await clock.sleepUntil(nextAt);
    }
  }

  /** An append that is in flight or about to be sent serves the waiters. */
  private isProofRequested(): boolean {
    if (this.pendingAppends.length > 0 || this.changedKeys.size > 0) {
      return false;
    }
    const newestInFlight = Math.max(0, ...this.proofsInFlight);
    return this.waiters.some(
      ({batch, call}) => batch < this.openBatch && call > newestInFlight,
    );
  }

  /** Records turns of the event loop, so that a stop of the process shows. */
  private async recordTurns(): Promise<void> {
    const {clock} = this.options;
    while (!this.isStopped) {
      await clock.sleepUntil(this.lastTurnAt + TURN_INTERVAL_MILLISECONDS);
      this.checkForStall();
      this.lastTurnAt = clock.monotonicNow();
    }
  }

  stop(): void {
    if (this.isStopped) return;
    this.isStopped = true;
    const waiters = this.waiters;
    this.waiters = [];
    for (const waiter of waiters) waiter.resolve(Left(lostError()));
    this.wakeUp.notify();
  }

  private async proveEpochWhenIdle(): Promise<void> {
    const {clock} = this.options;
    await this.wakeUp.wait(this.provedAt + IDLE_PROOF_MILLISECONDS);
    if (this.isStopped || this.changedKeys.size > 0) return;
    const dueAt = this.provedAt + IDLE_PROOF_MILLISECONDS;
    if (clock.monotonicNow() >= dueAt) await this.proveEpoch();
  }

  private async proveEpoch(): Promise<void> {
    const {clock, log} = this.options;
    const sentAt = clock.monotonicNow();
    const pausesBefore = this.pauseCount;
    // Changes made while the proof is in flight also wait for it, so its time
    // counts towards `logDownMilliseconds`.
    this.pendingSince ??= sentAt;
    const call = ++this.callCount;
    this.proofsInFlight.add(call);
    const result = await log.confirmEpoch(this.options.epoch);
    const isProved = await this.handleOutcome(result, sentAt, pausesBefore);
    this.proofsInFlight.delete(call);
    if (!isProved) {
      // The requests that relied on this call need another one.
      this.wakeUp.notify();
      return;
    }
    this.pendingSince = this.pendingAppends[0]?.sentAt;
    this.provedCall = Math.max(this.provedCall, call);
    this.resolveWaiters();
  }

  /** Sends a further append while an earlier one takes long. */
  private async overlapAppends(): Promise<void> {
    const newest = this.pendingAppends.at(-1);
    if (!newest || this.changedKeys.size === 0 || !this.mayOverlap()) {
      await this.wakeUp.wait();
      return;
    }
    const dueAt = newest.sentAt + OVERLAP_MILLISECONDS;
    if (this.options.clock.monotonicNow() >= dueAt) this.sendChanges();
    else await this.wakeUp.wait(dueAt);
  }

  /**
   * True while the log is slow but answers. Changes sent during an outage are
   * in doubt, so nothing is sent while a call takes longer than usual.
   */
  private mayOverlap(): boolean {
    if (
      this.isLogFailing() ||
      this.pendingAppends.length >= MAXIMUM_PENDING_APPENDS
    ) {
      return false;
    }
    return (
      this.lastCallMilliseconds >= OVERLAP_MILLISECONDS &&
      this.logDownMilliseconds < this.lastCallMilliseconds * SLOW_CALL_FACTOR
    );
  }

  private sendChanges(): void {
    const keys = new Set(this.changedKeys);
    const chunks = this.takeChunks();
    const batch = this.openBatch++;
    this.sentKeys.set(batch, keys);
    for (const [index, records] of chunks.entries()) {
      const pending: PendingAppend = {
        records,
        sequence: this.nextSequence++,
        call: ++this.callCount,
        sentAt: this.options.clock.monotonicNow(),
        isDone: false,
        refusals: 0,
        completedBatch: index === chunks.length - 1 ? batch : batch - 1,
      };
      this.pendingAppends.push(pending);
      this.pendingSince ??= pending.sentAt;
      void this.append(pending);
    }
  }

  /** Repeats an append until it or a later one succeeds. */
  private async append(pending: PendingAppend): Promise<void> {
    while (!pending.isDone && !this.isStopped) {
      // The log applies appends in order, so only the oldest one is repeated
      // while the log fails.
      if (this.isLogFailing() && this.pendingAppends[0] !== pending) {
        await this.wakeUp.wait();
        continue;
      }
      const sentAt = this.options.clock.monotonicNow();
      const pausesBefore = this.pauseCount;
      const result = await this.options.log.append(
        pending.records,
        this.options.epoch,
        pending.sequence,
      );
      if (pending.isDone || this.isStopped) return;
      if (isOutOfOrder(result)) {
        await this.options.clock.sleepUntil(
          this.options.clock.monotonicNow() + REORDER_DELAY_MILLISECONDS,
        );
      } else if (
        await this.handleOutcome(result, sentAt, pausesBefore, pending.sentAt)
      ) {
        this.complete(pending);
      } else if (result.extract() instanceof InvalidInputError) {
        this.handleRefusal(pending, result.extract() as TypedError);
      }
    }
  }

  /**
   * Replaces the largest record of an append that the log refuses time and
   * again: the append keeps its sequence number, since later ones follow it.
   */
  private handleRefusal(pending: PendingAppend, error: TypedError): void {
    pending.refusals++;
    if (pending.refusals % REFUSALS_BEFORE_REPLACEMENT !== 0) return;
    const sizes = pending.records.map(recordBytes);
    const largest = sizes.indexOf(Math.max(...sizes));
    const record = pending.records[largest];
    const bytes = sizes[largest] ?? 0;
    const isAtFault = record !== undefined && bytes > ALWAYS_ACCEPTED_BYTES;
    this.options.logger.error('shard log refuses an append', {
      epoch: this.epoch,
      records: pending.records.length,
      largestKey: record?.key,
      largestBytes: bytes,
      isReplaced: isAtFault,
      cause: error.message,
    });
    if (!isAtFault) return;
    pending.records[largest] = this.options.replace(record.key);
  }

  /** Appends apply in order: a success implies that of all earlier ones. */
  private complete(newest: PendingAppend): void {
    const index = this.pendingAppends.indexOf(newest);
    for (const pending of this.pendingAppends.splice(0, index + 1)) {
      pending.isDone = true;
    }
    this.pendingSince = this.pendingAppends[0]?.sentAt;
    this.durableBatch = Math.max(this.durableBatch, newest.completedBatch);
    for (const batch of this.sentKeys.keys()) {
      if (batch <= this.durableBatch) this.sentKeys.delete(batch);
    }
    this.provedCall = Math.max(this.provedCall, newest.call);
    this.resolveWaiters();
    this.wakeUp.notify();
  }

  /**
   * All changed records, split so that each chunk fits one append. Removals
   * come last, so that a record that replaces a removed one is durable no later
   * than the removal.
   */
  private takeChunks(): ShardRecord[][] {
    const keys = [...this.changedKeys];
    // A replacement marks further keys, which belong to the next batch.
    this.changedKeys.clear();
    const records = keys.map(key => this.recordOf(key));
    const maximumBytes = this.options.limits.requestBytes * BATCH_SHARE;
    const chunks: ShardRecord[][] = [[]];
    let bytes = 0;
    for (const record of [
      ...records.filter(({value}) => value !== ''),
      ...records.filter(({value}) => value === ''),
    ]) {
      const size = recordBytes(record);
      if (bytes > 0 && bytes + size > maximumBytes) {
        chunks.push([]);
        bytes = 0;
      }
      bytes += size;
      chunks.at(-1)?.push(record);
    }
    return chunks;
  }

  /** The newest value of a key, or its replacement if that is too large. */
  private recordOf(key: string): ShardRecord {
    const record = {key, value: this.options.encode(key)};
    const bytes = recordBytes(record);
    const {recordBytes: maximumBytes} = this.options.limits;
    if (bytes <= maximumBytes) return record;
    this.options.logger.error('record too large for the shard log', {
      key,
      bytes,
      maximumBytes,
    });
    return this.options.replace(key);
  }

  /**
   * Handles the outcome of a call; false means that it is to be repeated. The
   * log may answer a repeat as it answered the first sending, so a success
   * proves the epoch for the time of the first one only.
   */
  private async handleOutcome(
    result: Either<TypedError, void>,
    sentAt: number,
    pausesBefore: number,
    firstSentAt = sentAt,
  ): Promise<boolean> {
    const {clock, logger, metrics} = this.options;
    metrics.timing('log_append_milliseconds', clock.monotonicNow() - sentAt, {
      outcome: result.isRight()
        ? 'done'
        : (result.extract() as TypedError).code,
    });
    if (result.isRight()) {
      // If the process paused during the call, the monotonic clock makes the
      // call look more recent than it is, so it does not count as a proof.
      if (this.pauseCount === pausesBefore) {
        this.provedAt = Math.max(this.provedAt, firstSentAt);
      }
      this.lastCallMilliseconds = clock.monotonicNow() - sentAt;
      this.pauseDetector.resetBaseline();
      if (this.failingSince !== undefined) {
        const milliseconds = Math.round(
          clock.monotonicNow() - this.failingSince,
        );
        logger.info('shard log available again', {
          epoch: this.epoch,
          milliseconds,
        });
      }
      this.failingSince = undefined;
      return true;
    }
    if (this.isStopped) return false;
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
      logger.warn('shard log unavailable', {
        epoch: this.epoch,
        cause: error.message,
      });
    }
    await clock.sleepUntil(clock.monotonicNow() + RETRY_DELAY_MILLISECONDS);
    return false;
  }

  private resolveWaiters(): void {
    const isReady = ({batch, call}: Waiter) =>
      batch <= this.durableBatch && call <= this.provedCall;
    const ready = this.waiters.filter(isReady);
    if (ready.length === 0) return;
    this.waiters = this.waiters.filter(waiter => !isReady(waiter));
    for (const waiter of ready) waiter.resolve(Right(undefined));
  }

  /**
   * Counts a stop of the process or a blocked event loop. The monotonic clock
   * goes on meanwhile, so the ages of proofs and leases include it.
   */
  private checkForStall(): void {
    if (this.isStopped) return;
    const now = this.options.clock.monotonicNow();
    const milliseconds = now - this.lastTurnAt;
    if (milliseconds <= STALL_LIMIT_MILLISECONDS) return;
    this.lastTurnAt = now;
    this.stalls++;
    this.options.logger.warn('process stalled', {
      epoch: this.epoch,
      milliseconds: Math.round(milliseconds),
    });
  }

  /**
   * Invalidates the proof of the epoch after a process pause, because the
   * monotonic clock does not advance during a pause.
   */
  private checkForPause(): void {
    this.checkForStall();
    const drift = this.pauseDetector.takePause();
    if (drift === 0) return;
    this.pauses++;
    this.provedAt = -Infinity;
    this.wakeUp.notify();
    this.options.logger.warn(
      'process pause detected; epoch must be proved again',
      {
        epoch: this.epoch,
        driftMilliseconds: Math.round(drift),
      },
    );
  }
}

function recordBytes({key, value}: ShardRecord): number {
  return (
    Buffer.byteLength(key) + Buffer.byteLength(value) + RECORD_OVERHEAD_BYTES
  );
}

function isOutOfOrder(result: Either<TypedError, void>): boolean {
  if (result.isRight()) return false;
  return (result.extract() as TypedError).details.isOutOfOrder === true;
}

function lostError(): TypedError {
  return CancelledError.create('this host does not own the shard any more');
}
