import {
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
  createServer,
} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {ClientConnection} from './client_connection.js';
import type {ClientLimits} from './client_limits.js';
import {closesAfterAnswer} from './closes_after_answer.js';

/** Requests that may wait behind another one; each takes 1.5 KB or more. */
const MAXIMUM_WAITING_REQUESTS = 1_024;

/** Interval between checks of the time limits. */
const CHECK_MILLISECONDS = 500;

/** Minimum time without a change before a busy connection gives way. */
const GIVE_WAY_MILLISECONDS = 1_000;

interface GuardedServerOptions {
  limits: ClientLimits;
  /** Name of the server in metrics and log lines. */
  name: string;
  /** Share of the process's connections that this server may hold. */
  connectionShare: number;
  onRequest: RequestListener;
}

/**
 * HTTP server for untrusted clients. The requests of one connection are served
 * one after another, and the next one only once the client has read the answer.
 */
export class GuardedServer {
  readonly server: Server;
  private readonly connections = new Map<Socket, ClientConnection>();
  private readonly timer: NodeJS.Timeout;
  private checkedAt = performance.now();

  private constructor(private readonly options: GuardedServerOptions) {
    const {limits} = options;
    this.server = createServer(
      {
        // Own checks replace those of Node, whose time limit for headers also
        // closes connections that have not sent anything yet.
        headersTimeout: 0,
        requestTimeout: 0,
        keepAliveTimeout: 0,
      },
      (request, response) => this.receive(request, response),
    );
    this.server.prependListener('connection', () => {
      // Node reads this for each new connection.
      Object.assign(this.server, {maxHeaderSize: limits.headerBytes});
    });
    this.server.on('connection', (socket: Socket) => this.accept(socket));
    this.timer = setInterval(() => this.check(), CHECK_MILLISECONDS);
    this.timer.unref();
    this.server.on('close', () => clearInterval(this.timer));
  }

  static create(options: GuardedServerOptions): GuardedServer {
    return new GuardedServer(options);
  }

  /** Exempts a connection that left HTTP from the time limits of HTTP. */
  noteUpgrade(socket: Duplex): void {
    const connection = this.connections.get(socket as Socket);
    connection?.upgrade();
  }

  private get maximumConnections(): number {
    const {limits, connectionShare} = this.options;
    return Math.max(4, Math.floor(limits.connections * connectionShare));
  }

  private accept(socket: Socket): void {
    if (this.connections.size >= this.maximumConnections && !this.makeRoom()) {
      this.note('connections', socket);
      socket.destroy();
      return;
    }
    const connection = ClientConnection.create(socket);
    this.connections.set(socket, connection);
    const {limits} = this.options;
    limits.acceptedConnectionCount++;
    socket.once('close', () => {
      this.connections.delete(socket);
      if (!connection.isUsed) limits.unusedConnectionCount++;
      limits.waitingRequestCount -= connection.waiting.length;
      connection.waiting.length = 0;
    });
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    const {limits} = this.options;
    const connection = this.connections.get(request.socket);
    if (!connection || request.socket.destroyed) return;
    if (!connection.current) {
      this.serve(connection, request, response);
      return;
    }
    if (limits.waitingRequestCount >= MAXIMUM_WAITING_REQUESTS) {
      this.close(connection, 'waiting requests');
      return;
    }
    connection.waiting.push({request, response});
    limits.waitingRequestCount++;
  }

  private serve(
    connection: ClientConnection,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    connection.begin({request, response});
    response.once('finish', () => {
      if (closesAfterAnswer(request)) connection.drain();
    });
    // The next request waits for a turn of the event loop, so that a connection
    // with many requests in one packet holds up the others by one of them.
    const finish = () => setImmediate(() => this.finish(connection));
    response.once('close', () => {
      if (request.complete) finish();
      else request.once('close', finish);
    });
    this.options.onRequest(request, response as never);
  }

  private finish(connection: ClientConnection): void {
    const {socket, waiting} = connection;
    connection.current = undefined;
    connection.changedAt = performance.now();
    connection.bytesReadBefore = socket.bytesRead;
    if (socket.destroyed || !socket.writable) return;
    const next = waiting.shift();
    if (!next) {
      connection.resume();
      return;
    }
    this.options.limits.waitingRequestCount--;
    this.serve(connection, next.request, next.response);
    connection.resume();
  }

  private check(): void {
    const now = performance.now();
    // After a pause of the process its timers fire before it reads.
    const isLate = now - this.checkedAt > 2 * CHECK_MILLISECONDS;
    this.checkedAt = now;
    for (const connection of this.connections.values()) {
      if (connection.isUpgraded) continue;
      connection.sample(now);
      if (isLate) continue;
      const limit = this.exceededLimit(connection, now);
      if (limit) this.close(connection, limit);
    }
  }

  private exceededLimit(
    connection: ClientConnection,
    now: number,
  ): string | undefined {
    const {limits} = this.options;
    const {current, headSince = now} = connection;
    if (now - headSince > limits.headerMilliseconds) return 'header time';
    const unchanged = now - connection.changedAt;
    // Idle connections are closed only for new ones: a request that is on its way
    // to a closed connection would be lost.
    if (connection.hasUnreadAnswer && unchanged > limits.idleMilliseconds) {
      return 'unread answer';
    }
    if (
      current?.response.writableEnded &&
      !current.request.complete &&
      unchanged > limits.bodyProgressMilliseconds
    ) {
      return 'body after its answer';
    }
    return undefined;
  }

  /** Closes the connection that has been idle longest, or else stalled. */
  private makeRoom(): boolean {
    const now = performance.now();
    let oldest: ClientConnection | undefined;
    for (const connection of this.connections.values()) {
      if (connection.socket.destroyed || connection.isUpgraded) continue;
      const mayClose =
        connection.isIdle ||
        connection.isPipelining ||
        (now - connection.changedAt > GIVE_WAY_MILLISECONDS &&
          (connection.isReadingHead ||
            connection.hasUnreadAnswer ||
            connection.current?.request.complete === false));
      if (!mayClose) continue;
      if (
        !oldest ||
        (connection.isIdle && !oldest.isIdle) ||
        (connection.isIdle === oldest.isIdle &&
          connection.changedAt < oldest.changedAt)
      ) {
        oldest = connection;
      }
    }
    if (!oldest) return false;
    this.close(oldest, 'connections');
    // Its `close` event comes later, its place is free at once.
    this.connections.delete(oldest.socket);
    return true;
  }

  private close(connection: ClientConnection, limit: string): void {
    this.note(limit, connection.socket);
    connection.socket.destroy();
  }

  private note(limit: string, socket: Socket): void {
    const {limits, name} = this.options;
    limits.reporter?.note(name, limit, socket.remoteAddress);
  }
}
