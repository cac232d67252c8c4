import {
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import {type Either, Left, Right} from 'purify-ts';
import {Agent} from 'undici';
import {PendingAnswer} from './pending_answer.js';

/** One HTTP call with a time limit that covers the whole answer. */
interface HttpCall {
  /** Scheme `http`, address and path, in full. */
  url: string;
  method: 'GET' | 'POST';
  headers?: Record<string, string>;
  body?: Buffer | string;
  timeoutMilliseconds: number;
}

interface HttpAnswer {
  status: number;
  body: Buffer;
}

interface HttpClientOptions {
  /** Connections to one address; calls beyond wait for a free one. */
  connections: number;
  /** An address that accepts no connection within this is not reachable. */
  connectTimeoutMilliseconds: number;
  /** Idle connections are kept this long. */
  keepAliveMilliseconds: number;
}

/** Connections are replaced at most this often. */
const RENEW_MILLISECONDS = 500;

/** Replaced connections finish the calls they still carry within this. */
const RETIRE_MILLISECONDS = 5_000;

/** Turns of the event loop in which an answer's head and body are read. */
const INPUT_TURNS = 2;

const SCHEME_LENGTH = 'http://'.length;

/** Errors of connections that were never opened: nothing was sent. */
const NOT_SENT =
  /ECONNREFUSED|UND_ERR_CONNECT_TIMEOUT|EHOSTUNREACH|ENETUNREACH/;

/**
 * HTTP calls over kept connections. Connections may go silent for good while
 * new ones work, so a call that gets no answer in time retires them all, and
 * the next call opens new ones.
 */
export class HttpClient {
  private agent: Agent;
  private renewedAt = -Infinity;

  private constructor(private readonly options: HttpClientOptions) {
    this.agent = this.open();
  }

  static create(options: HttpClientOptions): HttpClient {
    return new HttpClient(options);
  }

  /**
   * `UnavailableError` means that nothing was sent, `UncertainError` that the
   * call may have been or may yet be carried out.
   */
  call(call: HttpCall): Promise<Either<TypedError, HttpAnswer>> {
    return new Promise(resolve => {
      const pending = PendingAnswer.create(outcome => {
        clearTimeout(timer);
        resolve(
          'status' in outcome
            ? Right(outcome)
            : Left(toError(call.url, outcome.thrown, false)),
        );
      });
      const timer = setTimeout(() => {
        void afterPendingInput().then(() => {
          if (pending.isSettled) return;
          pending.abort(new Error('timed out'));
          this.renew();
          resolve(Left(toError(call.url, undefined, true)));
        });
      }, call.timeoutMilliseconds);
      this.send(call, pending);
    });
  }

  private send(call: HttpCall, pending: PendingAnswer): void {
    const pathAt = call.url.indexOf('/', SCHEME_LENGTH);
    this.agent.dispatch(
      {
        origin: call.url.slice(0, pathAt),
        path: call.url.slice(pathAt),
        method: call.method,
        headers: call.headers,
        body: call.body,
      },
      pending,
    );
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }

  private renew(): void {
    const now = performance.now();
    if (now - this.renewedAt < RENEW_MILLISECONDS) return;
    this.renewedAt = now;
    const retired = this.agent;
    this.agent = this.open();
    setTimeout(() => void retired.destroy(), RETIRE_MILLISECONDS).unref();
  }

  private open(): Agent {
    return new Agent({
      connections: this.options.connections,
      pipelining: 1,
      connect: {timeout: this.options.connectTimeoutMilliseconds},
      keepAliveTimeout: this.options.keepAliveMilliseconds,
      // The limit of each call covers the whole answer; further limits of the
      // library would wake the process twice a second.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }
}

/**
 * Resolves once the event loop has read what had arrived. After a pause of the
 * process timers fire first, although the answers that they guard are there.
 */
async function afterPendingInput(): Promise<void> {
  for (let turn = 0; turn < INPUT_TURNS; turn++) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

function toError(
  url: string,
  thrown: unknown,
  isTimedOut: boolean,
): TypedError {
  const cause = (thrown ?? {}) as {code?: string | number; message?: string};
  const text = isTimedOut
    ? 'timed out'
    : `${cause.code ?? ''} ${cause.message ?? ''}`.trim();
  const message = `no answer from ${url.split('?')[0]}: ${text}`;
  return NOT_SENT.test(text)
    ? UnavailableError.create(message, {
        isUnreachable: true,
        isRefused: text.includes('ECONNREFUSED'),
      })
    : UncertainError.create(message);
}
