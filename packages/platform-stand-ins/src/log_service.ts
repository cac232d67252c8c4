import type {Clock} from '@cardamomfield/clock';
import {
  InvalidInputError,
  NotFoundError,
  UnavailableError,
} from '@cardamomfield/errors';
import type {LogPage, LogRecord} from '@cardamomfield/platform';
import {type Either, Left, Right} from 'purify-ts';
import type {Exchange} from './exchange.js';
import {FaultGate} from './fault_gate.js';
import {Notifier} from './notifier.js';

/** Largest body of one record, as JSON in characters. */
const DEFAULT_MAXIMUM_BODY_LENGTH = 1_048_576;

const MILLISECONDS_PER_SECOND = 1_000;

interface LogServiceOptions {
  clock: Clock;
  /** Age after which records are dropped. */
  retentionMilliseconds?: number;
  /** Records of one stream beyond which the oldest are dropped. */
  retentionRecords?: number;
  /** Rate above which appends are refused, over all streams. */
  appendsPerSecond?: number;
  maximumBodyLength?: number;
}

interface ReadRequest {
  stream: string;
  from: number;
  maximumRecords: number;
  /** Monotonic instant on the service's clock. */
  waitUntil?: number;
}

interface Stream {
  records: LogRecord[];
  /** Offset of the first kept record. */
  head: number;
  appended: Notifier;
}

/** The behaviour of the log service, without a transport. */
export class LogService {
  readonly faults: FaultGate;
  private readonly streams = new Map<string, Stream>();
  private appendCount = 0;
  private allowance: number;
  private allowanceAt: number;

  private constructor(private readonly options: Required<LogServiceOptions>) {
    this.faults = FaultGate.create({clock: options.clock});
    this.allowance = options.appendsPerSecond;
    this.allowanceAt = options.clock.monotonicNow();
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

  /** Appends one record and answers its offset. */
  append(
    stream: string,
    body: unknown,
  ): Promise<Exchange<Either<UnavailableError | InvalidInputError, number>>> {
    return this.faults.exchange(true, () => this.appendNow(stream, body));
  }

  /** Reads from an offset on, waiting for records until the given instant. */
  read(
    request: ReadRequest,
  ): Promise<Exchange<Either<UnavailableError | NotFoundError, LogPage>>> {
    return this.faults.exchange(false, () => this.readWaiting(request));
  }

  /** All kept records of a stream; for oracles, not subject to faults. */
  records(stream: string): readonly LogRecord[] {
    return this.trimmed(stream).records;
  }

  /** Appends that took effect since the start, over all streams. */
  appends(): number {
    return this.appendCount;
  }

  /** Drops all records of a stream below an offset. */
  trim(stream: string, head: number): void {
    const kept = this.trimmed(stream);
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
    if (!this.takeAllowance()) {
      return Left(UnavailableError.create('append rate limit exceeded'));
    }
    const stream = this.trimmed(name);
    const offset = stream.head + stream.records.length;
    const appendedAt = this.options.clock.wallNow();
    stream.records.push({offset, appendedAt, body: JSON.parse(text)});
    this.appendCount += 1;
    stream.appended.notify();
    return Right(offset);
  }

  private async readWaiting(
    request: ReadRequest,
  ): Promise<Either<UnavailableError | NotFoundError, LogPage>> {
    const {clock} = this.options;
    const waitUntil = request.waitUntil ?? -Infinity;
    for (;;) {
      if (this.faults.current().outage) {
        return Left(UnavailableError.create('injected outage'));
      }
      const page = this.readNow(request);
      const isWaiting = page.map(found => found.records.length === 0);
      if (!isWaiting.orDefault(false)) return page;
      if (clock.monotonicNow() >= waitUntil) return page;
      await this.trimmed(request.stream).appended.wait(waitUntil);
    }
  }

  private readNow(request: ReadRequest): Either<NotFoundError, LogPage> {
    const {records, head} = this.trimmed(request.stream);
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

  private takeAllowance(): boolean {
    const rate = this.options.appendsPerSecond;
    const now = this.options.clock.monotonicNow();
    const elapsed = now - this.allowanceAt;
    const gained = (elapsed * rate) / MILLISECONDS_PER_SECOND;
    // The allowance of one second may be used at once.
    this.allowance = Math.min(rate, this.allowance + (gained || 0));
    this.allowanceAt = now;
    if (this.allowance < 1) return false;
    this.allowance -= 1;
    return true;
  }

  private trimmed(name: string): Stream {
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
