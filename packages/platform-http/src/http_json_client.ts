import type {Clock} from '@cardamomfield/clock';
import {
  InvalidInputError,
  NotFoundError,
  RefusedError,
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import {FailureDescription} from '@cardamomfield/types';
import {type Either, Left, Right} from 'purify-ts';
import {Pool} from 'undici';
import type {z} from 'zod';
import {HttpExchange} from './http_exchange.js';

/** Time limit for opening a connection. */
const CONNECT_TIMEOUT_MILLISECONDS = 3_000;

/** Idle time after which a connection is closed. */
const KEEP_ALIVE_MILLISECONDS = 30_000;

/**
 * Default for the largest difference between the wall clocks of two hosts that
 * a long poll allows for. It equals the default of the entry host's setting
 * `clockSkewAllowanceMilliseconds`.
 */
const DEFAULT_CLOCK_SKEW_MILLISECONDS = 500;

/** Abort reason. Without one, each abort would build a stack trace. */
const ABORT_REASON = 'the call is finished';

interface HttpJsonClientOptions {
  /** Base URL with an IP address, for example `http://127.0.0.1:7000`. */
  address: string;
  clock: Clock;
  clockSkewMilliseconds?: number;
}

interface CallOptions<Answer> {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path with query string. */
  path: string;
  /** JSON value to send. */
  body?: unknown;
  schema: z.ZodType<Answer>;
  /** Monotonic instant after which the call fails. */
  deadline: number;
}

/** Error classes by the error code that a server sends. */
const ERRORS_BY_CODE = {
  'invalid-input': InvalidInputError,
  'not-found': NotFoundError,
  refused: RefusedError,
  unavailable: UnavailableError,
} as const;

/**
 * HTTP client for JSON calls to one server over persistent connections.
 * `UnavailableError` guarantees that the call had no effect; after
 * `UncertainError` it may have had one. All other errors come from the server.
 */
export class HttpJsonClient {
  private pool: Pool;

  private constructor(
    private readonly address: string,
    private readonly clock: Clock,
    private readonly clockSkew: number,
  ) {
    this.pool = createPool(address);
  }

  static create(options: HttpJsonClientOptions): HttpJsonClient {
    const clockSkew =
      options.clockSkewMilliseconds ?? DEFAULT_CLOCK_SKEW_MILLISECONDS;
    const address = new URL(options.address).origin;
    return new HttpJsonClient(address, options.clock, clockSkew);
  }

  /** Sends one request and validates the response. */
  async call<Answer>(
    options: CallOptions<Answer>,
  ): Promise<Either<TypedError, Answer>> {
    const target = `${options.method} ${this.address}${options.path}`;
    if (this.clock.monotonicNow() >= options.deadline) {
      const details = {target, cause: 'the deadline passed'};
      return Left(UnavailableError.create('the request was not sent', details));
    }
    const exchange = HttpExchange.create(target);
    this.dispatch(options, exchange);
    const deadlineTimer = new AbortController();
    void this.watchDeadline(options.deadline, exchange, deadlineTimer.signal);
    const result = await exchange.finished;
    deadlineTimer.abort(ABORT_REASON);
    return result.chain(response =>
      parseResponse(target, response.status, response.text, options.schema),
    );
  }

  /**
   * Converts the monotonic end of a wait to the wall-clock instant to send. It
   * is at least the clock skew before the call's deadline, so that a server
   * whose clock is behind still responds in time.
   */
  wallWaitUntil(waitUntil: number, deadline: number): number {
    const latest = Math.min(waitUntil, deadline - this.clockSkew);
    const remaining = latest - this.clock.monotonicNow();
    return Math.floor(this.clock.wallNow() + remaining);
  }

  /** Aborts all calls and closes all connections. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private dispatch(options: CallOptions<unknown>, exchange: HttpExchange) {
    const hasBody = options.body !== undefined;
    this.pool.dispatch(
      {
        method: options.method,
        path: options.path,
        headers: hasBody ? {'content-type': 'application/json'} : {},
        body: hasBody ? JSON.stringify(options.body) : null,
      },
      exchange,
    );
  }

  private async watchDeadline(
    deadline: number,
    exchange: HttpExchange,
    signal: AbortSignal,
  ): Promise<void> {
    const pool = this.pool;
    await this.clock.sleepUntil(deadline, signal);
    if (signal.aborted) return;
    exchange.expire();
    this.replacePool(pool);
  }

  /**
   * Opens new connections after a call without a response: established ones
   * can stop responding permanently while new ones work. Calls in flight on the
   * old connections continue until their own deadlines.
   */
  private replacePool(stale: Pool): void {
    if (this.pool !== stale || stale.closed || stale.destroyed) return;
    this.pool = createPool(this.address);
    void stale.close();
  }
}

function createPool(address: string): Pool {
  return new Pool(address, {
    pipelining: 1,
    connect: {timeout: CONNECT_TIMEOUT_MILLISECONDS},
    keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
    // Every call has its own deadline.
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

function parseResponse<Answer>(
  target: string,
  status: number,
  text: string,
  schema: z.ZodType<Answer>,
): Either<TypedError, Answer> {
  const body = parseJson(text);
  if (status >= 200 && status < 300) {
    const parsed = schema.safeParse(body);
    if (parsed.success) return Right(parsed.data);
    const details = {target, status, cause: parsed.error.message};
    return Left(UncertainError.create('malformed answer', details));
  }
  const failure = FailureDescription.safeParse(body);
  const code = failure.data?.code;
  if (!failure.success || !isKnownCode(code)) {
    const details = {target, status};
    return Left(UncertainError.create('the server failed', details));
  }
  const {message, details} = failure.data;
  return Left(ERRORS_BY_CODE[code].create(message, {...details, target}));
}

function isKnownCode(
  code: string | undefined,
): code is keyof typeof ERRORS_BY_CODE {
  return code !== undefined && Object.hasOwn(ERRORS_BY_CODE, code);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
