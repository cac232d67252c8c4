import type {Clock, RandomSource} from '@cardamomfield/clock';
import {
  DeadlineExceededError,
  type InvalidInputError,
  NotFoundError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';
import type {LogPage, LogRecord, PlatformLog} from '@cardamomfield/platform';
import {type Either, Left, Right} from 'purify-ts';
import type {z} from 'zod';
import {Backoff} from './backoff.js';
import type {FollowedStream} from './followed_stream.js';
import {LogEnvelope} from './log_envelope.js';
import {LogFollowerSettings} from './log_follower_settings.js';
import {PendingAppend} from './pending_append.js';
import {compactJson} from './compact_json.js';
import {SnapshotSchedule} from './snapshot_schedule.js';
import type {StreamFold} from './stream_fold.js';

/**
 * Slowest tolerated rate of a monotonic clock, relative to the clock of
 * another host.
 */
const SLOWEST_CLOCK_RATE = 0.99;

interface LogFollowerOptions<State> {
  log: PlatformLog;
  stream: string;
  fold: StreamFold<State>;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  metrics: Metrics;
  /**
   * Name of this process and its incarnation. It must be unique to the
   * incarnation, because identifiers of appends are derived from it.
   */
  writer: string;
  settings?: z.input<typeof LogFollowerSettings>;
}

type FreshRead = {sentAt: number; nextOffset: number};
type AppendFailure = UnavailableError | UncertainError | InvalidInputError;
type ReadFailure = UnavailableError | DeadlineExceededError;
type FoundSnapshot<State> = {
  state: State;
  through: number;
  appendedAt: number;
};

interface AppendTiming {
  /** Monotonic instant until which the answer of the log is awaited. */
  answerDeadline: number;
  /** Expiry that the record carries, on the wall clock of the log. */
  expires: number;
  /** Monotonic instant from which on an arriving record has no effect. */
  settledAt: number;
}

/** Follows one stream of the log. */
export class LogFollower<State> implements FollowedStream<State> {
  private current: State;
  private next = 0;
  private caughtUp = false;
  private isFollowing = false;
  private isLogFailing = false;
  private isWritingSnapshot = false;
  private appendCount = 0;
  private readonly idPrefix: string;
  private readonly pending = new Map<string, PendingAppend>();
  private readonly listeners = new Set<(state: State) => void>();
  private readonly schedule: SnapshotSchedule;

  private constructor(
    private readonly options: LogFollowerOptions<State>,
    private readonly settings: LogFollowerSettings,
  ) {
    this.current = options.fold.initial();
    const {clock, random} = options;
    this.schedule = SnapshotSchedule.create({clock, random, settings});
    const salt = random.integerBelow(2 ** 31 - 1).toString(36);
    this.idPrefix = `${options.writer}.${salt}`;
  }

  static create<State>(options: LogFollowerOptions<State>): LogFollower<State> {
    const settings = LogFollowerSettings.parse(options.settings ?? {});
    return new LogFollower(options, settings);
  }

  state(): State {
    return this.current;
  }

  nextOffset(): number {
    return this.next;
  }

  isCaughtUp(): boolean {
    return this.caughtUp;
  }

  /** Whether the last read of the log failed. */
  isLogUnavailable(): boolean {
    return this.isLogFailing;
  }

  onChange(listener: (state: State) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Follows the stream until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const backoff = this.createBackoff();
    this.isFollowing = true;
    while (!signal.aborted) {
      const result = await unlessAborted(this.pollNext(), signal);
      if (!result) break;
      if (result.isRight()) backoff.reset();
      else await backoff.wait({signal});
      this.writeSnapshotIfDue();
    }
    this.isFollowing = false;
  }

  async readFresh(deadline: number): Promise<Either<ReadFailure, FreshRead>> {
    const backoff = this.createBackoff();
    while (this.now() < deadline) {
      const sentAt = this.now();
      const result = await this.readNext(deadline);
      if (result.isLeft()) {
        if (this.isDeadlineNear(deadline)) return Left(result.extract());
        await backoff.wait({deadline});
        continue;
      }
      const page = result.unsafeCoerce();
      if (page && this.next >= page.tail) {
        return Right({sentAt, nextOffset: this.next});
      }
    }
    return Left(DeadlineExceededError.create('the tail was not reached'));
  }

  async append(
    body: unknown,
    deadline: number,
  ): Promise<Either<AppendFailure, number>> {
    const timing = this.planTiming(deadline);
    const append = PendingAppend.create(this.nextId());
    this.pending.set(append.id, append);
    const sent = this.options.log.append({
      stream: this.options.stream,
      body: {id: append.id, expires: timing.expires, body},
      deadline: timing.answerDeadline,
    });
    const result = await this.awaitOutcome(append, sent, timing, deadline);
    this.pending.delete(append.id);
    return result;
  }

  /**
   * Adopts a state of another process while the log can't be read. A state
   * that is not newer is ignored. Returns whether the state was adopted.
   */
  seedStateAt(state: State, nextOffset: number): boolean {
    if (nextOffset <= this.next) return false;
    this.replaceState(state, nextOffset);
    this.schedule.recordApplied(nextOffset, this.options.clock.wallNow());
    return true;
  }

  private async awaitOutcome(
    append: PendingAppend,
    sent: ReturnType<PlatformLog['append']>,
    timing: AppendTiming,
    deadline: number,
  ): Promise<Either<AppendFailure, number>> {
    // The record may be read before the answer to its append arrives.
    const answered = await unlessAborted(sent, append.resolvedSignal);
    if (!answered) return this.readOutcome(append);
    if (answered.isRight()) {
      return this.awaitApplied(append, answered.unsafeCoerce(), deadline);
    }
    const failure = answered.swap().unsafeCoerce();
    if (!(failure instanceof UncertainError)) return Left(failure);
    this.count('log.append.uncertain');
    return this.resolveByReading(append, timing, deadline);
  }

  /** Waits until a record whose offset is known has been applied. */
  private async awaitApplied(
    append: PendingAppend,
    offset: number,
    deadline: number,
  ): Promise<Either<AppendFailure, number>> {
    if (this.isFollowing && !this.isLogFailing) {
      // The pending poll of `run` delivers the record without another read.
      const waitUntil = this.now() + this.settings.readMilliseconds;
      const {clock} = this.options;
      await clock.sleepUntil(
        Math.min(deadline, waitUntil),
        append.resolvedSignal,
      );
    }
    while (!append.outcome() && this.next <= offset) {
      const read = await this.readFresh(deadline);
      if (append.outcome() || this.next > offset) break;
      if (read.isLeft()) {
        const details = {offset, cause: read.extract()};
        return Left(UncertainError.create('not read back', details));
      }
    }
    if (append.outcome()) return this.readOutcome(append);
    // It is unknown whether the record had expired or is part of the state.
    const details = {id: append.id, offset};
    return Left(UncertainError.create('the record was skipped', details));
  }

  /**
   * Resolves an append whose answer was lost. While the append may still be in
   * flight, its absence from the log proves nothing. Its absence is proved by a
   * read that is sent once an arriving record would have expired, unless the
   * record may be among those that were skipped.
   */
  private async resolveByReading(
    append: PendingAppend,
    timing: AppendTiming,
    deadline: number,
  ): Promise<Either<AppendFailure, number>> {
    await this.readFresh(Math.min(deadline, timing.settledAt));
    const {clock} = this.options;
    const waitUntil = Math.min(deadline, timing.settledAt);
    await clock.sleepUntil(waitUntil, append.resolvedSignal);
    if (append.outcome()) return this.readOutcome(append);
    const fresh = await this.readFresh(deadline);
    if (append.outcome()) return this.readOutcome(append);
    const isAbsenceProved = fresh
      .map(read => read.sentAt >= timing.settledAt)
      .orDefault(false);
    const details = {id: append.id, stream: this.options.stream};
    if (append.isPossiblySkipped()) {
      const message = 'the record may have been skipped';
      return Left(UncertainError.create(message, details));
    }
    return isAbsenceProved
      ? Left(UnavailableError.create('the append did not arrive', details))
      : Left(UncertainError.create('the append may still arrive', details));
  }

  private readOutcome(append: PendingAppend): Either<AppendFailure, number> {
    const outcome = append.outcome()!;
    if (!outcome.isExpired) return Right(outcome.offset);
    const details = {id: append.id, offset: outcome.offset};
    return Left(UnavailableError.create('the append came too late', details));
  }

  /**
   * Allots half of the time to the arrival of the record and the rest to
   * reading the log for its outcome.
   */
  private planTiming(deadline: number): AppendTiming {
    const now = this.now();
    const skew = this.settings.clockSkewMilliseconds;
    const answerDeadline = now + Math.max(0, deadline - now) / 2;
    const lifetime = answerDeadline - now + skew;
    const expires = Math.ceil(this.options.clock.wallNow() + lifetime);
    const settledAt = now + (lifetime + 1 + skew) / SLOWEST_CLOCK_RATE;
    return {answerDeadline, expires, settledAt};
  }

  /**
   * Reads the next records and waits for new ones once the tail has been
   * reached. Until then a read must not wait, because a stream without new
   * records would delay the start of the process.
   */
  private pollNext(): ReturnType<LogFollower<State>['readNext']> {
    const {pollMilliseconds, readMilliseconds} = this.settings;
    if (!this.caughtUp) return this.readNext(this.now() + readMilliseconds);
    const waitUntil = this.now() + pollMilliseconds;
    return this.readNext(waitUntil + readMilliseconds, waitUntil);
  }

  /**
   * Reads and applies the next records. The result has no page if the read
   * offset was trimmed and the follower recovered from a snapshot or the head.
   */
  private async readNext(
    deadline: number,
    waitUntil?: number,
  ): Promise<Either<UnavailableError, LogPage | undefined>> {
    const result = await this.readPage(this.next, deadline, waitUntil);
    if (result.isRight()) {
      const page = result.unsafeCoerce();
      this.applyPage(page);
      this.recordReadSuccess();
      return Right(page);
    }
    const failure = result.swap().unsafeCoerce();
    const recovered =
      failure instanceof NotFoundError
        ? await this.recover(deadline)
        : Left(failure);
    recovered.ifLeft(cause => this.recordReadFailure(cause));
    return recovered.map(() => undefined);
  }

  private readPage(
    from: number,
    deadline: number,
    waitUntil?: number,
  ): ReturnType<PlatformLog['read']> {
    return this.options.log.read({
      stream: this.options.stream,
      from,
      maximumRecords: this.settings.recordsPerRead,
      deadline,
      ...(waitUntil !== undefined && {waitUntil}),
    });
  }

  /**
   * Recovers after the log trimmed the next offset: from the latest usable
   * snapshot, or from the head if the settings allow that.
   */
  private async recover(
    deadline: number,
  ): Promise<Either<UnavailableError, void>> {
    const head = await this.findHead(deadline);
    if (head.isLeft()) return head.map(() => undefined);
    const scan = await this.scan(head.unsafeCoerce(), deadline);
    if (scan.isLeft()) return scan.map(() => undefined);
    const {start, startedAt, found} = scan.unsafeCoerce();
    if (found) this.applySnapshot(found);
    else if (this.mayStartAtHead(startedAt)) this.skipToHead(start);
    if (this.next >= start) return Right(undefined);
    this.count('log.snapshots.missing');
    const details = {stream: this.options.stream, head: start};
    return Left(UnavailableError.create('no usable snapshot', details));
  }

  private async findHead(
    deadline: number,
  ): Promise<Either<UnavailableError, number>> {
    const result = await this.readPage(this.next, deadline);
    return result
      .map(page => page.head)
      .chainLeft(error =>
        error instanceof NotFoundError
          ? Right(headOf(error))
          : Left(error as UnavailableError),
      );
  }

  /** Reads from an offset to the tail and returns the last usable snapshot. */
  private async scan(
    head: number,
    deadline: number,
  ): Promise<
    Either<
      UnavailableError,
      {
        start: number;
        /** Instant of the first record read, if there is one. */
        startedAt: number | undefined;
        found: FoundSnapshot<State> | undefined;
      }
    >
  > {
    let start = head;
    let from = head;
    let startedAt: number | undefined;
    let found: FoundSnapshot<State> | undefined;
    for (;;) {
      const result = await this.readPage(from, deadline);
      if (result.isLeft()) {
        const failure = result.swap().unsafeCoerce();
        if (failure instanceof UnavailableError) return Left(failure);
        start = from = headOf(failure as NotFoundError);
        startedAt = undefined;
        continue;
      }
      const page = result.unsafeCoerce();
      startedAt ??= page.records[0]?.appendedAt;
      for (const record of page.records) {
        found = newer(this.readSnapshot(record), found);
        from = record.offset + 1;
      }
      if (from >= page.tail || page.records.length === 0) break;
    }
    const isUsable = found !== undefined && found.through >= start;
    return Right({start, startedAt, found: isUsable ? found : undefined});
  }

  private readSnapshot(record: LogRecord): FoundSnapshot<State> | undefined {
    const envelope = LogEnvelope.safeParse(record.body).data;
    if (!envelope || !('snapshot' in envelope)) return undefined;
    const {through} = envelope;
    const decoded = compactJson.decode(envelope.snapshot);
    const state = this.options.fold.fromSnapshot(decoded);
    if (state === undefined || through > record.offset) {
      this.count('log.snapshots.unusable');
      return undefined;
    }
    return {state, through, appendedAt: record.appendedAt};
  }

  private applySnapshot(found: FoundSnapshot<State>): void {
    this.schedule.recordSnapshot(found.through, found.appendedAt);
    if (found.through <= this.next) return;
    this.replaceState(found.state, found.through);
    this.count('log.snapshots.used');
  }

  /** Whether the trimmed records are old enough to be skipped. */
  private mayStartAtHead(appendedAt: number | undefined): boolean {
    const age = this.settings.trimmedStartAgeMilliseconds;
    if (age === undefined) return false;
    if (age === 0) return true;
    const skew = this.settings.clockSkewMilliseconds;
    const latest = this.options.clock.wallNow() - age - skew;
    return appendedAt !== undefined && appendedAt <= latest;
  }

  private skipToHead(head: number): void {
    if (head <= this.next) return;
    this.count('log.trimmed.skipped', head - this.next);
    this.skipTo(head);
  }

  private applyPage(page: LogPage): void {
    const before = this.current;
    for (const record of page.records) {
      // Reads may overlap, but each record is applied once and in order.
      if (record.offset !== this.next) continue;
      this.next += 1;
      this.applyRecord(record);
    }
    if (this.next >= page.tail) this.caughtUp = true;
    if (this.current !== before) this.notify();
  }

  private applyRecord(record: LogRecord): void {
    const parsed = LogEnvelope.safeParse(record.body);
    if (!parsed.success) {
      this.count('log.records.malformed');
      return;
    }
    const envelope = parsed.data;
    if ('snapshot' in envelope) {
      const {through} = envelope;
      if (through > record.offset) return;
      this.schedule.recordSnapshot(through, record.appendedAt);
      return;
    }
    this.schedule.recordApplied(record.offset, record.appendedAt);
    const isExpired = record.appendedAt > envelope.expires;
    if (isExpired) this.count('log.records.expired');
    else this.applyBody({...record, body: envelope.body});
    const {offset} = record;
    this.pending.get(envelope.id)?.resolve({offset, isExpired});
  }

  private applyBody(record: LogRecord): void {
    try {
      this.current = this.options.fold.apply(this.current, record);
    } catch (error) {
      // The fold is pure, so every process skips the same record.
      this.count('log.records.malformed');
      const {offset} = record;
      this.options.logger.error('a record could not be applied', {
        stream: this.options.stream,
        offset,
        cause: String(error),
      });
    }
  }

  private replaceState(state: State, nextOffset: number): void {
    this.current = state;
    this.skipTo(nextOffset);
    this.notify();
  }

  /** Advances past records without reading them. */
  private skipTo(offset: number): void {
    this.next = offset;
    for (const append of this.pending.values()) append.markPossiblySkipped();
  }

  private notify(): void {
    for (const listener of [...this.listeners]) listener(this.current);
  }

  private writeSnapshotIfDue(): void {
    if (!this.caughtUp || this.isWritingSnapshot) return;
    if (!this.schedule.isDue(this.next)) return;
    this.isWritingSnapshot = true;
    void this.writeSnapshot().finally(() => {
      this.isWritingSnapshot = false;
    });
  }

  private async writeSnapshot(): Promise<void> {
    const {fold, log, stream} = this.options;
    this.schedule.recordAttempt();
    const through = this.next;
    const snapshot = compactJson.encode(fold.toSnapshot(this.current));
    const {readMilliseconds, pollMilliseconds} = this.settings;
    const result = await log.append({
      stream,
      body: {id: this.nextId(), through, snapshot},
      deadline: this.now() + readMilliseconds + pollMilliseconds,
    });
    result.caseOf({
      Left: () => this.count('log.snapshots.failed'),
      Right: () => this.count('log.snapshots.written'),
    });
  }

  private recordReadSuccess(): void {
    if (!this.isLogFailing) return;
    this.isLogFailing = false;
    const {logger, stream} = this.options;
    logger.info('the log can be read again', {stream, next: this.next});
  }

  private recordReadFailure(cause: UnavailableError): void {
    this.count('log.reads.failed');
    if (this.isLogFailing) return;
    this.isLogFailing = true;
    const {logger, stream} = this.options;
    logger.warn('the log can not be read', {stream, cause: cause.toJSON()});
  }

  private isDeadlineNear(deadline: number): boolean {
    const shortest = this.settings.backoffMinimumMilliseconds;
    return this.now() + shortest >= deadline;
  }

  private createBackoff(): Backoff {
    const {clock, random} = this.options;
    return Backoff.create({
      clock,
      random,
      minimumMilliseconds: this.settings.backoffMinimumMilliseconds,
      maximumMilliseconds: this.settings.backoffMaximumMilliseconds,
    });
  }

  private nextId(): string {
    this.appendCount += 1;
    return `${this.idPrefix}.${this.appendCount.toString(36)}`;
  }

  private count(name: string, by = 1): void {
    this.options.metrics.increment(name, by, {stream: this.options.stream});
  }

  private now(): number {
    return this.options.clock.monotonicNow();
  }
}

function newer<State>(
  first: FoundSnapshot<State> | undefined,
  second: FoundSnapshot<State> | undefined,
): FoundSnapshot<State> | undefined {
  if (!first || !second) return first ?? second;
  return first.through >= second.through ? first : second;
}

function headOf(error: NotFoundError): number {
  return Number(error.details['head'] ?? 0);
}

/** Resolves to the value, or to undefined once the signal aborts. */
async function unlessAborted<Value>(
  promise: Promise<Value>,
  signal: AbortSignal,
): Promise<Value | undefined> {
  if (signal.aborted) return undefined;
  let stop = () => {};
  const aborted = new Promise<undefined>(resolve => {
    stop = () => resolve(undefined);
    signal.addEventListener('abort', stop);
  });
  const result = await Promise.race([promise, aborted]);
  signal.removeEventListener('abort', stop);
  return result;
}
