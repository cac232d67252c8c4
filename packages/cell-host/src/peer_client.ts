import {
  CancelledError,
  ForbiddenError,
  NotFoundError,
  OverloadedError,
  RefusedError,
  type TypedError,
  UnauthenticatedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import {HttpClient} from '@cardamomfield/http-client';
import {type JSONRPCResponse, JSONRPCClient} from 'json-rpc-2.0';
import {type Either, Left, Right} from 'purify-ts';
import type {z} from 'zod';
import {NotOwnerError} from './not_owner_error.js';
import {PeerMethod} from './peer_method.js';

/**
 * Maximum connections to one host; further calls wait for a free one. A new
 * owner gets some from each host at the same time, and accepts them slowly.
 */
const CONNECTIONS_PER_HOST = 12;

/**
 * Further connections for reads of the owner's state. They wait for a proof of
 * its epoch, and must not hold up the calls that change something.
 */
const READ_CONNECTIONS_PER_HOST = 6;

/**
 * Connections for pings and heartbeats. They are not shared with other calls: a
 * ping that waits behind one makes a busy owner look silent.
 */
const PING_CONNECTIONS_PER_HOST = 2;

/** Methods by which hosts learn whether an owner is alive. */
const PING_METHODS = new Set<string>([PeerMethod.ping, PeerMethod.heartbeat]);

/** Methods that change the owner's state. */
const CHANGE_METHODS = new Set<string>([PeerMethod.submit, PeerMethod.cancel]);

/** Most bytes of an answer; hosts pass on answers of the store. */
const MAXIMUM_RESPONSE_BYTES = 64_000_000;

/** Methods that only read the owner's state. */
const READ_METHODS = new Set<string>([
  PeerMethod.show,
  PeerMethod.countPending,
]);

/** A host that accepts no connection within this time is unreachable. */
const CONNECT_TIMEOUT_MILLISECONDS = 700;

/** Closes idle connections before a network device drops their state. */
const KEEP_ALIVE_MILLISECONDS = 10_000;

/** Constructors of the errors that a host answers with, by error code. */
const ERROR_FACTORIES: Record<
  string,
  (message: string, details: Details) => TypedError
> = {
  'not-owner': () => NotOwnerError.create(),
  'not-found': NotFoundError.create,
  refused: RefusedError.create,
  unavailable: UnavailableError.create,
  cancelled: CancelledError.create,
  unauthenticated: UnauthenticatedError.create,
  forbidden: ForbiddenError.create,
  overloaded: OverloadedError.create,
};

type Details = Readonly<Record<string, unknown>>;

/** Calls methods of other hosts by JSON-RPC over HTTP. */
export class PeerClient {
  private nextId = 1;

  private readonly pingClients = new Map<string, HttpClient>();
  private readonly changeClients = new Map<string, HttpClient>();
  private readonly readClients = new Map<string, HttpClient>();
  private readonly otherClients = new Map<string, HttpClient>();

  private readonly unanswered = new WeakSet<TypedError>();

  private constructor() {}

  static create(): PeerClient {
    return new PeerClient();
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
        const http = this.clientFor(address, method);
        const answer = await this.post(
          http,
          address,
          body,
          timeoutMilliseconds,
        );
        if (answer.isLeft()) {
          failure = answer.extract() as TypedError;
          throw failure;
        }
        client.receive(answer.unsafeCoerce());
        // The library ignores a response to another request. Nothing further
        // arrives on this call.
        client.rejectAllPendingRequests('the host answered another request');
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

  /**
   * True for a failure of a call that the host did not answer at all. The error
   * itself does not show it: a host also answers with the failures of its own
   * calls.
   */
  isUnanswered(failure: TypedError): boolean {
    return this.unanswered.has(failure);
  }

  /**
   * After a change of the owner all hosts ping it, and call it for their callers,
   * at the same time. These connections are opened one after another.
   */
  private clientFor(address: string, method: string): HttpClient {
    const startsSlowly = true;
    if (PING_METHODS.has(method)) {
      const connections = PING_CONNECTIONS_PER_HOST;
      return getOrCreate(this.pingClients, address, {
        connections,
        startsSlowly,
      });
    }
    if (READ_METHODS.has(method)) {
      const connections = READ_CONNECTIONS_PER_HOST;
      return getOrCreate(this.readClients, address, {
        connections,
        startsSlowly,
      });
    }
    const connections = CONNECTIONS_PER_HOST;
    return CHANGE_METHODS.has(method)
      ? getOrCreate(this.changeClients, address, {connections, startsSlowly})
      : getOrCreate(this.otherClients, address, {connections});
  }

  private async post(
    client: HttpClient,
    address: string,
    body: unknown,
    timeoutMilliseconds: number,
  ): Promise<Either<TypedError, JSONRPCResponse>> {
    const answer = await client.call({
      url: `http://${address}/rpc`,
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(body),
      timeoutMilliseconds,
    });
    if (answer.isLeft()) this.unanswered.add(answer.extract() as TypedError);
    return answer.chain(({body: bytes}) => {
      try {
        return Right(JSON.parse(bytes.toString('utf8')) as JSONRPCResponse);
      } catch {
        return Left(UncertainError.create(`host ${address} sent no JSON`));
      }
    });
  }
}

function getOrCreate(
  clients: Map<string, HttpClient>,
  address: string,
  options: {connections: number; startsSlowly?: boolean},
): HttpClient {
  const known = clients.get(address);
  if (known) return known;
  const client = HttpClient.create({
    ...options,
    connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
    keepAliveMilliseconds: KEEP_ALIVE_MILLISECONDS,
    keepsSlowConnections: true,
    maximumResponseBytes: MAXIMUM_RESPONSE_BYTES,
  });
  clients.set(address, client);
  return client;
}

function toError(thrown: unknown): TypedError {
  const {message, data} = thrown as {
    message: string;
    data?: {code?: string; details?: Details};
  };
  const create = ERROR_FACTORIES[data?.code ?? ''];
  if (create) return create(message, data?.details ?? {});
  return UncertainError.create(message, {}, thrown);
}
