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
  /** First offset to read. */
  from: number;
  maximumRecords: number;
  /**
   * Monotonic instant until which the service may delay the response while
   * there is nothing to return. If absent, it responds immediately.
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
   * nothing was appended. After `UncertainError` the record may have been
   * appended; only reading the stream shows whether it was.
   */
  append(
    options: AppendOptions,
  ): Promise<
    Either<UnavailableError | UncertainError | InvalidInputError, number>
  >;

  /**
   * Reads records from an offset onwards. `NotFoundError` means that the offset
   * is older than the head; its details contain `head`. The service determines
   * the returned tail after the call was sent.
   */
  read(
    options: ReadOptions,
  ): Promise<Either<UnavailableError | NotFoundError, LogPage>>;
}
