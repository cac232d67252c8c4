import {
  CancelledError,
  NotFoundError,
  RefusedError,
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import {type JSONRPCResponse, JSONRPCClient} from 'json-rpc-2.0';
import {type Either, Left, Right} from 'purify-ts';
import {Agent, request} from 'undici';
import type {z} from 'zod';
import {NotOwnerError} from './not_owner_error.js';

/** Connections to one host; calls beyond wait for a free one. */
const CONNECTIONS_PER_HOST = 24;

/** A host that does not accept a connection within this is not reachable. */
const CONNECT_TIMEOUT_MILLISECONDS = 700;

/** Idle connections are closed before anything between may forget them. */
const KEEP_ALIVE_MILLISECONDS = 10_000;

/** Failures that another host may answer, by their code. */
const ERRORS: Record<string, (message: string) => TypedError> = {
  'not-owner': () => NotOwnerError.create(),
  'not-found': message => NotFoundError.create(message),
  refused: message => RefusedError.create(message),
  unavailable: message => UnavailableError.create(message),
  cancelled: message => CancelledError.create(message),
};

/** Errors of connections that were never opened: nothing was sent. */
const NOT_SENT =
  /ECONNREFUSED|UND_ERR_CONNECT_TIMEOUT|EHOSTUNREACH|ENETUNREACH/;

/** Calls methods of other hosts by JSON-RPC over HTTP. */
export class PeerClient {
  private nextId = 1;

  private constructor(private readonly agent: Agent) {}

  static create(): PeerClient {
    const agent = new Agent({
      connections: CONNECTIONS_PER_HOST,
      pipelining: 1,
      connect: {timeout: CONNECT_TIMEOUT_MILLISECONDS},
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
    });
    return new PeerClient(agent);
  }

  /**
   * `UnavailableError` means that nothing was done, `UncertainError` that the
   * call may have been carried out; other errors are the called host's answer.
   */
  async call<Result extends z.ZodType>(
    address: string,
    method: string,
    parameters: unknown,
    result: Result,
    timeoutMilliseconds: number,
  ): Promise<Either<TypedError, z.infer<Result>>> {
    let failure: TypedError | undefined;
    const client = new JSONRPCClient<void>(
      async body => {
        const answer = await this.post(address, body, timeoutMilliseconds);
        if (answer.isLeft()) {
          failure = answer.extract() as TypedError;
          throw failure;
        }
        client.receive(answer.unsafeCoerce());
      },
      () => this.nextId++,
    );
    try {
      const value: unknown = await client.request(method, parameters);
      const parsed = result.safeParse(value);
      if (parsed.success) return Right(parsed.data);
      return Left(
        UncertainError.create(`host ${address} sent a malformed answer`, {
          method,
        }),
      );
    } catch (thrown) {
      return Left(failure ?? toError(thrown));
    }
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }

  private async post(
    address: string,
    body: unknown,
    timeoutMilliseconds: number,
  ): Promise<Either<TypedError, JSONRPCResponse>> {
    const abort = new AbortController();
    const timer = setTimeout(() => abort.abort(), timeoutMilliseconds);
    try {
      const response = await request(`http://${address}/rpc`, {
        method: 'POST',
        dispatcher: this.agent,
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(body),
        signal: abort.signal,
      });
      return Right((await response.body.json()) as JSONRPCResponse);
    } catch (thrown) {
      const cause = thrown as {code?: string; message?: string};
      const text = `${cause.code ?? ''} ${cause.message ?? ''}`;
      const message = `host ${address} did not answer: ${text.trim()}`;
      return Left(
        NOT_SENT.test(text)
          ? UnavailableError.create(message, {isUnreachable: true})
          : UncertainError.create(message),
      );
    } finally {
      clearTimeout(timer);
    }
  }
}

function toError(thrown: unknown): TypedError {
  const {message, data} = thrown as {message: string; data?: {code?: string}};
  const create = ERRORS[data?.code ?? ''];
  if (create) return create(message);
  return UncertainError.create(message, {}, thrown);
}
