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

/** Identifier of the only call before a connection is in use. */
const HELLO_IDENTIFIER = 0;

interface HandshakeOptions {
  clock: Clock;
  self: Hello;
  /** Time for each side's part of the exchange. */
  periodMilliseconds: number;
}

/** The exchange of `hello` that opens every connection. */
export class Handshake {
  private constructor(private readonly options: HandshakeOptions) {}

  static create(options: HandshakeOptions): Handshake {
    return new Handshake(options);
  }

  /** Introduces this host on a connection that it has opened. */
  async introduce(socket: PeerSocket): Promise<Either<TypedError, Hello>> {
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

  /** Reads the introduction on a connection that the peer has opened. */
  async expectHello(socket: PeerSocket): Promise<Either<TypedError, Hello>> {
    const received = await this.receive(socket);
    return received.chain(message =>
      'method' in message && message.method === 'hello'
        ? this.checkHello(message.params.value)
        : Left(unexpected('hello')),
    );
  }

  /** Answers an introduction with this host's own. */
  accept(socket: PeerSocket): void {
    this.answer(socket, {outcome: 'done', value: this.options.self});
  }

  /** Answers an introduction with a failure and closes the connection. */
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
    const {clock, periodMilliseconds} = this.options;
    await clock.sleepUntil(clock.monotonicNow() + periodMilliseconds, signal);
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

/** Read on its own, because other versions may have another schema. */
function protocolVersionOf(received: unknown): unknown {
  const version = Hello.pick({protocolVersion: true}).safeParse(received);
  return version.data?.protocolVersion;
}

function unexpected(expected: string): InvalidInputError {
  return InvalidInputError.create(`first message is not ${expected}`, {
    reason: 'malformed-hello',
  });
}
