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

/** Time after which an attempt to connect is given up. */
const CONNECT_TIMEOUT_MILLISECONDS = 3_000;

/** Idle time after which a kept connection is closed. */
const KEEP_ALIVE_MILLISECONDS = 30_000;

/**
 * Largest difference of two hosts' wall clocks that a long poll allows for,
 * as in section 4 of the design.
 */
const DEFAULT_CLOCK_SKEW_MILLISECONDS = 500;

/** Reason of aborts; without one, each abort builds a stack trace. */
const FINISHED = 'the call is finished';

interface HttpCallerOptions {
  /** Base URL by IP number, for example `http://127.0.0.1:7000`. */
  address: string;
  clock: Clock;
  clockSkewMilliseconds?: number;
}

interface CallOptions<Answer> {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path with query. */
  path: string;
  /** JSON value to send. */
  body?: unknown;
  schema: z.ZodType<Answer>;
  /** Monotonic instant after which the call fails. */
  deadline: number;
}

/** Failure classes by the code that a server sends. */
const FAILURES = {
  'invalid-input': InvalidInputError,
  'not-found': NotFoundError,
  refused: RefusedError,
  unavailable: UnavailableError,
} as const;

/**
 * JSON calls to one server over kept connections. `UnavailableError` proves
 * that the call had no effect, `UncertainError` that it may have had one; the
 * other failures are the server's own.
 */
export class HttpCaller {
  private pool: Pool;

  private constructor(
    private readonly address: string,
    private readonly clock: Clock,
    private readonly clockSkew: number,
  ) {
    this.pool = openPool(address);
  }

  static create(options: HttpCallerOptions): HttpCaller {
    const clockSkew =
      options.clockSkewMilliseconds ?? DEFAULT_CLOCK_SKEW_MILLISECONDS;
    const address = new URL(options.address).origin;
    return new HttpCaller(address, options.clock, clockSkew);
  }

  /** Sends one request and checks its answer. */
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
    const finished = new AbortController();
    void this.watchDeadline(options.deadline, exchange, finished.signal);
    const result = await exchange.finished;
    finished.abort(FINISHED);
    return result.chain(answer =>
      interpret(target, answer.status, answer.text, options.schema),
    );
  }

  /**
   * The wall-clock instant to send for a monotonic wait. It is kept a clock
   * skew before the call's deadline, so that a server whose clock is behind
   * still answers in time.
   */
  wallWaitUntil(waitUntil: number, deadline: number): number {
    const latest = Math.min(waitUntil, deadline - this.clockSkew);
    const remaining = latest - this.clock.monotonicNow();
    return Math.floor(this.clock.wallNow() + remaining);
  }

  /** Ends all calls and connections. */
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
    this.replace(pool);
  }

  /**
   * Opens new connections after a call without an answer: established ones
   * may be silent for good while new ones work. Calls in flight on the old
   * connections are left to their own deadlines.
   */
  private replace(silent: Pool): void {
    if (this.pool !== silent || silent.closed || silent.destroyed) return;
    this.pool = openPool(this.address);
    void silent.close();
  }
}

function openPool(address: string): Pool {
  return new Pool(address, {
    pipelining: 1,
    connect: {timeout: CONNECT_TIMEOUT_MILLISECONDS},
    keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
    // Every call has its own deadline.
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

function interpret<Answer>(
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
  return Left(FAILURES[code].create(message, {...details, target}));
}

function isKnownCode(code: string | undefined): code is keyof typeof FAILURES {
  return code !== undefined && Object.hasOwn(FAILURES, code);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
