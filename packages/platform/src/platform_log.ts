import type {
  InvalidInputError,
  NotFoundError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';
import type {LogPage} from './log_page.js';

interface ReadOptions {
  stream: string;
  /** First offset wanted. */
  from: number;
  maximumRecords: number;
  /**
   * Monotonic instant until which the service may hold the call back while
   * there is nothing to return. Absent: it answers at once.
   */
  waitUntil?: number;
  /** Monotonic instant after which the call fails. */
  deadline: number;
}

interface AppendOptions {
  stream: string;
  /** Any JSON value. */
  body: unknown;
  /** Monotonic instant after which the call fails. */
  deadline: number;
}

/** The platform's append-only log service. */
export interface PlatformLog {
  /**
   * Appends one record and returns its offset. `UnavailableError` means that
   * nothing was appended; after `UncertainError` the record may be there, and
   * only reading tells.
   */
  append(
    options: AppendOptions,
  ): Promise<
    Either<UnavailableError | UncertainError | InvalidInputError, number>
  >;

  /**
   * Reads from an offset on. `NotFoundError` means that the offset is older
   * than the head; its details carry `head`. The returned tail is that of an
   * instant after the call was sent.
   */
  read(
    options: ReadOptions,
  ): Promise<Either<UnavailableError | NotFoundError, LogPage>>;
}
