import {
  CallDeadline,
  SystemClock,
  afterPendingInput,
  afterTurns,
} from '@cardamomfield/clock';
import {
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import {type Either, Left, Right} from 'purify-ts';
import {Agent} from 'undici';
import {CallWindow} from './call_window.js';
import {PendingResponse} from './pending_response.js';

/** An HTTP call with a time limit that covers the whole response. */
interface HttpCall {
  /** Full URL with scheme `http`, address and path. */
  url: string;
  method: 'GET' | 'POST';
  headers?: Record<string, string>;
  body?: Buffer | string;
  timeoutMilliseconds: number;
}

interface HttpResponse {
  status: number;
  body: Buffer;
}

interface HttpClientOptions {
  /** Maximum connections per address; further calls wait for a free one. */
  connections: number;
  /** Time limit for opening a connection; then the address is unreachable. */
  connectTimeoutMilliseconds: number;
  /** Idle time after which a connection is closed. */
  keepAliveMilliseconds: number;
  /**
   * Whether a call that times out leaves its connection open for the late
   * response, and the connections of a server that answers no call are replaced
   * less and less often. A server with a long event loop accepts few
   * connections; opening new ones for each slow call keeps it from recovering.
   */
  keepsSlowConnections?: boolean;
  /**
   * Whether the client sends one call at first and one more with each answer,
   * and keeps connections that were never answered for longer. A server accepts
   * one connection in a turn of its event loop; if many clients open all of
   * theirs at once, it accepts most of them after they have been given up.
   */
  startsSlowly?: boolean;
  /** A response with more bytes ends its call and its connection. */
  maximumResponseBytes?: number;
}

/**
 * Most bytes of a response where the client sets no other limit. The largest
 * ones of workers, hosts and the advice service have some hundred kilobytes.
 */
const MAXIMUM_RESPONSE_BYTES = 16_000_000;

/** Minimum interval between two replacements of the connections. */
const REPLACEMENT_INTERVAL_MILLISECONDS = 500;

/** Longest interval for a server that does not answer at all. */
const MAXIMUM_REPLACEMENT_INTERVAL_MILLISECONDS = 4_000;

/**
 * Time for which a client that starts slowly waits for the first answer: a new
 * connection would be accepted after all that other clients have opened since.
 */
const FIRST_ANSWER_MILLISECONDS = 4_000;

/** Time that replaced connections get to finish the calls in flight. */
const DRAIN_MILLISECONDS = 5_000;

/**
 * Undici sends on a connection again in the turn after its answer ended. A call
 * that is dispatched earlier opens another connection, which a busy server
 * accepts last, while the accepted one is idle.
 */
const RELEASE_TURNS = 2;

const SCHEME_LENGTH = 'http://'.length;

/** Connections that are replaced together. */
interface ConnectionGroup {
  agent: Agent;
  window: CallWindow;
  createdAt: number;
  isAnswered: boolean;
}

/** Errors of connections that were never opened, so nothing was sent. */
const CONNECT_FAILURE =
  /ECONNREFUSED|UND_ERR_CONNECT_TIMEOUT|EHOSTUNREACH|ENETUNREACH/;

/**
 * HTTP client with persistent connections. Established connections can stop
 * responding permanently while new ones work, so a call that times out replaces
 * all connections, and the next call opens new ones.
 */
export class HttpClient {
  private readonly clock = SystemClock.create();
  private group: ConnectionGroup;
  /**
   * Calls that wait for room in the window, the newest first to leave: the oldest
   * would be sent when its time is almost over, and so would all after it.
   */
  private readonly waiting = new Map<PendingResponse, HttpCall>();
  private isSendingScheduled = false;
  private replacedAt = -Infinity;
  private replacementInterval = REPLACEMENT_INTERVAL_MILLISECONDS;
  private answeredAt = -Infinity;

  private readonly maximumBytes: number;

  private constructor(private readonly options: HttpClientOptions) {
    this.maximumBytes = options.maximumResponseBytes ?? MAXIMUM_RESPONSE_BYTES;
    this.group = this.createGroup();
  }

  static create(options: HttpClientOptions): HttpClient {
    return new HttpClient(options);
  }

  /**
   * `UnavailableError` means that nothing was sent; `UncertainError` means that
   * the call may have taken effect or may still do so. A call that waits for a
   * connection until its time limit has passed is never sent, not even when a
   * pause of the process makes the timer late.
   */
  call(call: HttpCall): Promise<Either<TypedError, HttpResponse>> {
    const deadline = CallDeadline.create(this.clock, call.timeoutMilliseconds);
    const startedAt = performance.now();
    return new Promise(resolve => {
      const pending = PendingResponse.create(
        deadline,
        this.maximumBytes,
        outcome => {
          clearTimeout(timer);
          if ('status' in outcome) this.noteAnswer();
          resolve(
            'status' in outcome
              ? Right(outcome)
              : Left(toError(call.url, outcome.thrown)),
          );
        },
      );
      const timer = setTimeout(() => {
        void afterPendingInput().then(() => {
          if (pending.isSettled) return;
          const error = this.options.keepsSlowConnections
            ? this.abandon(call, pending, startedAt)
            : this.abort(call, pending);
          resolve(Left(error));
        });
      }, call.timeoutMilliseconds);
      this.waiting.set(pending, call);
      if (!this.isSendingScheduled) this.sendWaiting();
    });
  }

  /** Sends once the connection that was released can be used again. */
  private scheduleSending(): void {
    if (!this.options.startsSlowly) {
      this.sendWaiting();
      return;
    }
    if (this.isSendingScheduled) return;
    this.isSendingScheduled = true;
    void afterTurns(RELEASE_TURNS).then(() => {
      this.isSendingScheduled = false;
      this.sendWaiting();
    });
  }

  private sendWaiting(): void {
    const {window} = this.group;
    const now = performance.now();
    const idleSince = now - this.options.keepAliveMilliseconds;
    // By then the connections have been closed.
    if (window.isEmpty && this.answeredAt < idleSince) {
      window.shrink();
      Object.assign(this.group, {createdAt: now, isAnswered: false});
    }
    while (window.hasRoom) {
      const next = [...this.waiting].findLast(([{isExpired}]) => !isExpired);
      if (!next) return;
      const [pending, call] = next;
      this.waiting.delete(pending);
      this.send(call, pending);
    }
  }

  private send(call: HttpCall, pending: PendingResponse): void {
    const {group} = this;
    group.window.begin();
    pending.onReleased = outcome => {
      group.window.end(outcome);
      if (outcome === 'answered') group.isAnswered = true;
      this.scheduleSending();
    };
    const pathStart = call.url.indexOf('/', SCHEME_LENGTH);
    group.agent.dispatch(
      {
        origin: call.url.slice(0, pathStart),
        path: call.url.slice(pathStart),
        method: call.method,
        headers: call.headers,
        body: call.body,
      },
      pending,
    );
  }

  close(): Promise<void> {
    return this.group.agent.destroy();
  }

  /** Ends a call that timed out and leaves its connection open. */
  private abandon(
    call: HttpCall,
    pending: PendingResponse,
    startedAt: number,
  ): TypedError {
    this.waiting.delete(pending);
    pending.abandon(() => this.noteAnswer());
    if (!pending.isSent) {
      return UnavailableError.create(
        `${timeoutMessage(call.url)} before it was sent`,
        {isUnreachable: true},
      );
    }
    // Calls that were answered since then show that the connections work.
    if (this.answeredAt < startedAt) this.replaceAgent();
    return UncertainError.create(timeoutMessage(call.url));
  }

  /** Ends a call that timed out, and its connection with it. */
  private abort(call: HttpCall, pending: PendingResponse): TypedError {
    this.waiting.delete(pending);
    pending.abort(new Error('timed out'));
    this.replaceAgent();
    return UncertainError.create(timeoutMessage(call.url));
  }

  private noteAnswer(): void {
    this.answeredAt = performance.now();
    this.replacementInterval = REPLACEMENT_INTERVAL_MILLISECONDS;
  }

  private replaceAgent(): void {
    const now = performance.now();
    if (now - this.replacedAt < this.replacementInterval) return;
    const {createdAt, isAnswered} = this.group;
    if (
      this.options.startsSlowly &&
      !isAnswered &&
      now - createdAt < FIRST_ANSWER_MILLISECONDS
    ) {
      return;
    }
    this.replacedAt = now;
    if (this.options.keepsSlowConnections) {
      this.replacementInterval = Math.min(
        MAXIMUM_REPLACEMENT_INTERVAL_MILLISECONDS,
        this.replacementInterval * 2,
      );
    }
    const replaced = this.group.agent;
    this.group = this.createGroup();
    setTimeout(() => void replaced.destroy(), DRAIN_MILLISECONDS).unref();
    this.sendWaiting();
  }

  private createGroup(): ConnectionGroup {
    const {connections, startsSlowly} = this.options;
    return {
      agent: this.createAgent(),
      window: startsSlowly
        ? CallWindow.growing(connections)
        : CallWindow.unbounded(),
      createdAt: performance.now(),
      isAnswered: false,
    };
  }

  private createAgent(): Agent {
    return new Agent({
      connections: this.options.connections,
      pipelining: 1,
      connect: {timeout: this.options.connectTimeoutMilliseconds},
      keepAliveTimeout: this.options.keepAliveMilliseconds,
      // The time limit of each call covers the whole response. The library's
      // own time limits would wake the process twice a second.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }
}

function timeoutMessage(url: string): string {
  return `no answer from ${url.split('?')[0]}: timed out`;
}

function toError(url: string, thrown: unknown): TypedError {
  const cause = (thrown ?? {}) as {code?: string | number; message?: string};
  const reason = `${cause.code ?? ''} ${cause.message ?? ''}`.trim();
  const message = `no answer from ${url.split('?')[0]}: ${reason}`;
  if (thrown instanceof UnavailableError) {
    return UnavailableError.create(message, {isUnreachable: true});
  }
  return CONNECT_FAILURE.test(reason)
    ? UnavailableError.create(message, {
        isUnreachable: true,
        isRefused: reason.includes('ECONNREFUSED'),
      })
    : UncertainError.create(message);
}
