import type {Clock} from '@cardamomfield/clock';
import {
  InvalidInputError,
  RefusedError,
  toTypedError,
  type TypedError,
  UnavailableError,
} from '@cardamomfield/errors';
import {createJSONRPCRequest, createJSONRPCSuccessResponse} from 'json-rpc-2.0';
import {type Either, Left, Right} from 'purify-ts';
import {Hello} from './hello.js';
import type {PeerSocket} from './peer_socket.js';
import {PROTOCOL_VERSION} from './protocol_version.js';
import {WireAnswer} from './wire_answer.js';

/** Identifier of the `hello` call, the only call during the handshake. */
const HELLO_IDENTIFIER = 0;

interface HandshakeOptions {
  clock: Clock;
  self: Hello;
  /** Longest wait for the other side's `hello`. */
  timeoutMilliseconds: number;
}

/** Exchange of `hello` messages at the start of every connection. */
export class Handshake {
  private constructor(private readonly options: HandshakeOptions) {}

  static create(options: HandshakeOptions): Handshake {
    return new Handshake(options);
  }

  /** Exchanges `hello` on a connection that this host opened. */
  async initiate(socket: PeerSocket): Promise<Either<TypedError, Hello>> {
    const params = {value: this.options.self};
    const request = createJSONRPCRequest(HELLO_IDENTIFIER, 'hello', params);
    const sent = socket.send(request);
    if (sent.isLeft()) return sent;
    const received = await this.receive(socket);
    return received.chain(message => {
      if ('method' in message) return Left(unexpected('an answer to hello'));
      const answer = WireAnswer.safeParse(message.result);
      if (!answer.success) return Left(unexpected('an answer to hello'));
      if (answer.data.outcome !== 'done') {
        const {code, message: reason, details} = answer.data.failure;
        return Left(RefusedError.create(reason, {...details, code}));
      }
      return this.checkHello(answer.data.value);
    });
  }

  /** Reads `hello` from a connection that the peer opened. */
  async receiveHello(socket: PeerSocket): Promise<Either<TypedError, Hello>> {
    const received = await this.receive(socket);
    return received.chain(message =>
      'method' in message && message.method === 'hello'
        ? this.checkHello(message.params.value)
        : Left(unexpected('hello')),
    );
  }

  /** Answers a `hello` with the one of this host. */
  accept(socket: PeerSocket): void {
    this.answer(socket, {outcome: 'done', value: this.options.self});
  }

  /** Answers a `hello` with a failure and closes the connection. */
  refuse(socket: PeerSocket, error: TypedError): void {
    const {code, message, details} = error.toJSON();
    const failure = {code, message, details: {reason: details.reason}};
    this.answer(socket, {outcome: 'refused', failure});
    socket.end();
  }

  private answer(socket: PeerSocket, answer: WireAnswer): void {
    socket.send(createJSONRPCSuccessResponse(HELLO_IDENTIFIER, answer));
  }

  private async receive(socket: PeerSocket) {
    const timer = new AbortController();
    void this.expire(socket, timer.signal);
    try {
      const received = await socket.receive();
      if (received) return Right(received.message);
      return Left(UnavailableError.create('connection closed before hello'));
    } catch (thrown) {
      return Left(toTypedError(thrown));
    } finally {
      timer.abort();
    }
  }

  private async expire(socket: PeerSocket, signal: AbortSignal): Promise<void> {
    const {clock, timeoutMilliseconds} = this.options;
    await clock.sleepUntil(clock.monotonicNow() + timeoutMilliseconds, signal);
    if (!signal.aborted) socket.destroy();
  }

  private checkHello(received: unknown): Either<TypedError, Hello> {
    const version = protocolVersionOf(received);
    if (version !== PROTOCOL_VERSION) {
      return Left(
        RefusedError.create(
          `protocol version ${version} is not ${PROTOCOL_VERSION}`,
          {reason: 'protocol-version', version, expected: PROTOCOL_VERSION},
        ),
      );
    }
    const hello = Hello.safeParse(received);
    return hello.success ? Right(hello.data) : Left(unexpected('hello'));
  }
}

/** Parses only the version, because other versions may use another schema. */
function protocolVersionOf(received: unknown): unknown {
  const version = Hello.pick({protocolVersion: true}).safeParse(received);
  return version.data?.protocolVersion;
}

function unexpected(expected: string): InvalidInputError {
  return InvalidInputError.create(`first message is not ${expected}`, {
    reason: 'malformed-hello',
  });
}
