import type {Clock} from '@cardamomfield/clock';
import {
  InvalidInputError,
  NotFoundError,
  type UnavailableError,
  type UncertainError,
} from '@cardamomfield/errors';
import {LogPage, type PlatformLog} from '@cardamomfield/platform';
import type {Either} from 'purify-ts';
import {HttpJsonClient} from './http_json_client.js';
import {platformWire} from './platform_wire.js';
import {toReadFailure} from './to_read_failure.js';
import {toWriteFailure} from './to_write_failure.js';

type AppendOptions = Parameters<PlatformLog['append']>[0];
type ReadOptions = Parameters<PlatformLog['read']>[0];

interface HttpPlatformLogOptions {
  /** Base URL of the log service. */
  address: string;
  clock: Clock;
  clockSkewMilliseconds?: number;
}

/** HTTP client of the log service. */
export class HttpPlatformLog implements PlatformLog {
  private constructor(private readonly client: HttpJsonClient) {}

  static create(options: HttpPlatformLogOptions): HttpPlatformLog {
    return new HttpPlatformLog(HttpJsonClient.create(options));
  }

  async append(
    options: AppendOptions,
  ): Promise<
    Either<UnavailableError | UncertainError | InvalidInputError, number>
  > {
    const result = await this.client.call({
      method: 'POST',
      path: recordsPath(options.stream),
      body: {body: options.body},
      schema: platformWire.appendAnswer,
      deadline: options.deadline,
    });
    return result
      .map(answer => answer.offset)
      .mapLeft(error =>
        error instanceof InvalidInputError ? error : toWriteFailure(error),
      );
  }

  async read(
    options: ReadOptions,
  ): Promise<Either<UnavailableError | NotFoundError, LogPage>> {
    const result = await this.client.call({
      method: 'GET',
      path: `${recordsPath(options.stream)}?${this.readQuery(options)}`,
      schema: LogPage,
      deadline: options.deadline,
    });
    return result.mapLeft(error =>
      error instanceof NotFoundError ? error : toReadFailure(error),
    );
  }

  /** Aborts all calls and closes all connections. */
  close(): Promise<void> {
    return this.client.close();
  }

  private readQuery(options: ReadOptions): URLSearchParams {
    const query = new URLSearchParams({
      from: String(options.from),
      maximumRecords: String(options.maximumRecords),
    });
    if (options.waitUntil !== undefined) {
      const wall = this.client.wallWaitUntil(
        options.waitUntil,
        options.deadline,
      );
      query.set('waitUntil', String(wall));
    }
    return query;
  }
}

function recordsPath(stream: string): string {
  return `/streams/${encodeURIComponent(stream)}/records`;
}
