import type {Clock} from '@cardamomfield/clock';
import {
  InvalidInputError,
  NotFoundError,
  UnavailableError,
} from '@cardamomfield/errors';
import type {LogPage, LogRecord} from '@cardamomfield/platform';
import {type Either, Left, Right} from 'purify-ts';
import type {CallOutcome} from './call_outcome.js';
import {FaultInjector} from './fault_injector.js';
import {Notifier} from './notifier.js';

/** Longest body of a record, in characters of JSON. */
const DEFAULT_MAXIMUM_BODY_LENGTH = 1_048_576;

const MILLISECONDS_PER_SECOND = 1_000;

interface LogServiceOptions {
  clock: Clock;
  /** Age after which records are dropped. */
  retentionMilliseconds?: number;
  /** Records kept per stream; older ones are dropped. */
  retentionRecords?: number;
  /** Maximum rate of appends over all streams; more are refused. */
  appendsPerSecond?: number;
  maximumBodyLength?: number;
}

interface ReadRequest {
  stream: string;
  from: number;
  maximumRecords: number;
  /** Monotonic time on the service's clock. */
  waitUntil?: number;
}

interface Stream {
  records: LogRecord[];
  /** Offset of the oldest kept record. */
  head: number;
  appended: Notifier;
}

/** In-process implementation of the log service, without a transport. */
export class LogService {
  readonly faults: FaultInjector;
  private readonly streams = new Map<string, Stream>();
  private appendCount = 0;
  private appendTokens: number;
  private tokensRefilledAt: number;

  private constructor(private readonly options: Required<LogServiceOptions>) {
    this.faults = FaultInjector.create({clock: options.clock});
    this.appendTokens = options.appendsPerSecond;
    this.tokensRefilledAt = options.clock.monotonicNow();
    this.faults.onChange(() => this.wakeReaders());
  }

  static create(options: LogServiceOptions): LogService {
    return new LogService({
      retentionMilliseconds: Infinity,
      retentionRecords: Infinity,
      appendsPerSecond: Infinity,
      maximumBodyLength: DEFAULT_MAXIMUM_BODY_LENGTH,
      ...options,
    });
  }

  /** Appends one record and returns its offset. */
  append(
    stream: string,
    body: unknown,
  ): Promise<
    CallOutcome<Either<UnavailableError | InvalidInputError, number>>
  > {
    return this.faults.call(true, () => this.appendNow(stream, body));
  }

  /** Reads from an offset on; waits for records until `waitUntil`. */
  read(
    request: ReadRequest,
  ): Promise<CallOutcome<Either<UnavailableError | NotFoundError, LogPage>>> {
    return this.faults.call(false, () => this.waitAndRead(request));
  }

  /** All kept records of a stream, for test oracles; ignores faults. */
  records(stream: string): readonly LogRecord[] {
    return this.trimmedStream(stream).records;
  }

  /** Number of appends that took effect, over all streams. */
  appends(): number {
    return this.appendCount;
  }

  /** Drops all records of a stream below an offset. */
  trim(stream: string, head: number): void {
    const kept = this.trimmedStream(stream);
    kept.records = kept.records.filter(record => record.offset >= head);
    kept.head = Math.max(kept.head, head);
  }

  private appendNow(
    name: string,
    body: unknown,
  ): Either<UnavailableError | InvalidInputError, number> {
    const text = JSON.stringify(body) as string | undefined;
    if (text === undefined) {
      return Left(InvalidInputError.create('the body is not JSON'));
    }
    if (text.length > this.options.maximumBodyLength) {
      const details = {length: text.length};
      return Left(InvalidInputError.create('the body is too long', details));
    }
    if (!this.takeAppendToken()) {
      return Left(UnavailableError.create('append rate limit exceeded'));
    }
    const stream = this.trimmedStream(name);
    const offset = stream.head + stream.records.length;
    const appendedAt = this.options.clock.wallNow();
    stream.records.push({offset, appendedAt, body: JSON.parse(text)});
    this.appendCount += 1;
    stream.appended.notify();
    return Right(offset);
  }

  private async waitAndRead(
    request: ReadRequest,
  ): Promise<Either<UnavailableError | NotFoundError, LogPage>> {
    const {clock} = this.options;
    const waitUntil = request.waitUntil ?? -Infinity;
    for (;;) {
      if (this.faults.current().outage) {
        return Left(UnavailableError.create('injected outage'));
      }
      const page = this.readNow(request);
      const isEmpty = page.map(found => found.records.length === 0);
      if (!isEmpty.orDefault(false)) return page;
      if (clock.monotonicNow() >= waitUntil) return page;
      await this.trimmedStream(request.stream).appended.wait(waitUntil);
    }
  }

  private readNow(request: ReadRequest): Either<NotFoundError, LogPage> {
    const {records, head} = this.trimmedStream(request.stream);
    if (request.from < head) {
      return Left(NotFoundError.create('the offset is trimmed', {head}));
    }
    const first = request.from - head;
    const page = records.slice(first, first + request.maximumRecords);
    return Right({records: page, head, tail: head + records.length});
  }

  private wakeReaders(): void {
    for (const stream of this.streams.values()) stream.appended.notify();
  }

  private takeAppendToken(): boolean {
    const rate = this.options.appendsPerSecond;
    const now = this.options.clock.monotonicNow();
    const elapsed = now - this.tokensRefilledAt;
    const refill = (elapsed * rate) / MILLISECONDS_PER_SECOND;
    // Tokens of up to one second may be spent in one burst.
    this.appendTokens = Math.min(rate, this.appendTokens + (refill || 0));
    this.tokensRefilledAt = now;
    if (this.appendTokens < 1) return false;
    this.appendTokens -= 1;
    return true;
  }

  private trimmedStream(name: string): Stream {
    let stream = this.streams.get(name);
    if (!stream) {
      const appended = Notifier.create(this.options.clock);
      stream = {records: [], head: 0, appended};
      this.streams.set(name, stream);
    }
    const excess = this.countExpired(stream.records);
    if (excess > 0) {
      stream.records = stream.records.slice(excess);
      stream.head += excess;
    }
    return stream;
  }

  private countExpired(records: readonly LogRecord[]): number {
    const {clock, retentionMilliseconds, retentionRecords} = this.options;
    const oldest = clock.wallNow() - retentionMilliseconds;
    let expired = Math.max(0, records.length - retentionRecords);
    while (expired < records.length && records[expired]!.appendedAt < oldest) {
      expired += 1;
    }
    return expired;
  }
}
