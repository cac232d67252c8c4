import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import {
  type BodyError,
  ClientLimits,
  GuardedServer,
  closesAfterAnswer,
  readBody,
} from '@cardamomfield/client-limits';
import {type TypedError, toTypedError} from '@cardamomfield/errors';
import type {Logger} from '@cardamomfield/logger';
import {App} from '@tinyhttp/app';
import {JSONRPCErrorException, JSONRPCServer} from 'json-rpc-2.0';
import type {Either} from 'purify-ts';
import type {z} from 'zod';

/** JSON-RPC code of every failure; the error data has the specific code. */
const APPLICATION_ERROR = -32_000;

/** Largest request body between hosts: a submission and its envelope. */
const MAXIMUM_BODY_BYTES = 4_000_000;

/**
 * Connections that may wait to be accepted. After a takeover all hosts of a cell
 * connect to the new owner at the same time.
 */
const MAXIMUM_WAITING_CONNECTIONS = 4_096;

/** Name of this server in metrics and log lines of limits. */
const SERVER_NAME = 'peers';

/** 10 MB on a host with 250 MB; callers leave a part of it to other hosts. */
const BODY_BUDGET_SHARE = 0.5;

/** An owner has 18 connections from each of 43 hosts, of 3,900 in all. */
const CONNECTION_SHARE = 0.25;

/**
 * Relay channels that may be open. One owner opens one to a host, and a former
 * owner's may still be open for a while.
 */
const MAXIMUM_UPGRADED_CONNECTIONS = 16;

/** Serves the calls of other hosts. */
export class PeerServer {
  // Failures are sent to the caller and logged where they occur.
  private readonly methods = new JSONRPCServer({errorListener: () => {}});
  private readonly guarded: GuardedServer;
  private readonly server: Server;
  private upgradedCount = 0;

  private constructor(
    private readonly logger: Logger,
    private readonly limits: ClientLimits,
  ) {
    const app = new App({
      settings: {xPoweredBy: false},
      onError: (cause: unknown, _request, response) => {
        logger.warn('request from another host aborted', {
          cause: String(cause),
        });
        response.writeHead(400).end();
      },
    });
    app.post('/rpc', async (request, response) => {
      const body = await readBody(request, {
        limits,
        server: SERVER_NAME,
        maximumBytes: MAXIMUM_BODY_BYTES,
        budgetShare: BODY_BUDGET_SHARE,
      });
      if (body.isLeft()) {
        const {status} = body.extract() as BodyError;
        const isClosing = closesAfterAnswer(request);
        response
          .writeHead(status, isClosing ? {connection: 'close'} : {})
          .end();
        return;
      }
      const text = body.unsafeCoerce().toString('utf8');
      const answer = await this.methods.receiveJSON(text);
      response.writeHead(200, {'content-type': 'application/json'});
      response.end(JSON.stringify(answer ?? null));
    });
    this.guarded = GuardedServer.create({
      limits,
      name: SERVER_NAME,
      connectionShare: CONNECTION_SHARE,
      onRequest: (request, response) => {
        void app.handler(request as never, response as never);
      },
    });
    this.server = this.guarded.server;
  }

  static create(logger: Logger, limits = ClientLimits.create()): PeerServer {
    return new PeerServer(logger, limits);
  }

  /** Registers a method; its failures are answered with their error code. */
  handle<Parameters extends z.ZodType>(
    method: string,
    parameters: Parameters,
    handler: (
      value: z.infer<Parameters>,
    ) => Promise<Either<TypedError, unknown>>,
  ): void {
    this.methods.addMethod(method, async (raw: unknown) => {
      const parsed = parameters.safeParse(raw);
      if (!parsed.success) {
        this.logger.warn('request from another host has invalid parameters', {
          method,
        });
        throw new JSONRPCErrorException(
          parsed.error.message,
          APPLICATION_ERROR,
          {
            code: 'invalid-input',
          },
        );
      }
      const result = await handler(parsed.data).catch((thrown: unknown) => {
        throw toRpcException(toTypedError(thrown));
      });
      if (result.isRight()) return result.extract() ?? {};
      throw toRpcException(result.extract() as TypedError);
    });
  }

  /** Serves the byte streams that other hosts open by an HTTP upgrade. */
  handleUpgrade(protocol: string, handler: (socket: Duplex) => void): void {
    this.server.on('upgrade', (request, socket, head) => {
      if (request.headers.upgrade !== protocol) {
        this.logger.warn('upgrade to an unknown protocol refused', {
          protocol: request.headers.upgrade,
        });
        socket.destroy();
        return;
      }
      if (this.upgradedCount >= MAXIMUM_UPGRADED_CONNECTIONS) {
        this.limits.reporter?.note(
          SERVER_NAME,
          'relay channels',
          request.socket.remoteAddress,
        );
        socket.destroy();
        return;
      }
      this.upgradedCount++;
      socket.once('close', () => this.upgradedCount--);
      // HTTP connections may be half open; a channel ends with its client.
      socket.once('end', () => socket.end());
      this.guarded.noteUpgrade(socket);
      socket.write(
        `HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: ${protocol}\r\n\r\n`,
      );
      if (head.length > 0) socket.unshift(head);
      handler(socket);
    });
  }

  listen(address: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, MAXIMUM_WAITING_CONNECTIONS, () =>
        resolve(),
      );
    });
  }

  /** The port that the server listens on. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

function toRpcException(error: TypedError): JSONRPCErrorException {
  return new JSONRPCErrorException(error.message, APPLICATION_ERROR, {
    code: error.code,
    details: error.details,
  });
}
