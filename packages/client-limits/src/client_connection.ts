import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {SliceFeed} from './slice_feed.js';

/** A request whose turn on its connection may not have come yet. */
interface Exchange {
  request: IncomingMessage;
  response: ServerResponse;
}

/** Time for which the rest of a refused body is dropped after the answer. */
const DRAIN_MILLISECONDS = 1_000;

/**
 * Bytes that are dropped at most, a body of the largest allowed size; then the
 * connection is reset. Memory of dropped bytes is collected late.
 */
const DRAIN_BYTES = 262_144;

/** Interval of the checks for these bytes. */
const DRAIN_CHECK_MILLISECONDS = 20;

/** One client's connection, with what the server knows of its progress. */
export class ClientConnection {
  /** The request that is being served. */
  current: Exchange | undefined;
  readonly waiting: Exchange[] = [];
  private readonly feed: SliceFeed;
  /** Monotonic time since which nothing has changed. */
  changedAt = performance.now();
  /** Bytes read when the last request had arrived whole. */
  bytesReadBefore = 0;
  /** Monotonic time at which an unfinished head was first seen. */
  headSince: number | undefined;
  /** Whether a request of the connection has been served. */
  isUsed = false;
  /** Whether the connection left HTTP for another protocol. */
  isUpgraded = false;
  private bytesRead = 0;
  private bytesSent = 0;
  private isDraining = false;

  private constructor(readonly socket: Socket) {
    this.feed = SliceFeed.create({
      socket,
      isFull: () => this.waiting.length > 0,
    });
    const destroySoon = socket.destroySoon.bind(socket);
    // Node closes a connection by this method after its last answer. A reset,
    // which bytes that were not read cause, would destroy that answer.
    socket.destroySoon = () => {
      if (this.current?.request.complete !== false) destroySoon();
      else this.drain();
    };
  }

  static create(socket: Socket): ClientConnection {
    return new ClientConnection(socket);
  }

  /** Whether requests wait for an earlier one. */
  get isPipelining(): boolean {
    return this.waiting.length > 0;
  }

  /** Notes the request that is served from now on. */
  begin(exchange: Exchange): void {
    this.current = exchange;
    this.isUsed = true;
    this.changedAt = performance.now();
    const {headers} = exchange.request;
    this.feed.expectBody(Number(headers['content-length'] ?? 0));
  }

  /** Lets the parser have the bytes that waited for earlier requests. */
  resume(): void {
    if (this.waiting.length > 0 || this.socket.destroyed) return;
    this.socket.resume();
    this.feed.feed();
  }

  /** Hands the connection to another protocol. */
  upgrade(): void {
    this.isUpgraded = true;
    this.feed.release();
  }

  /** Whether no request is on its way, arriving, or being answered. */
  get isIdle(): boolean {
    return (
      !this.current &&
      !this.feed.hasRest &&
      this.socket.bytesRead === this.bytesReadBefore &&
      this.socket.writableLength === 0
    );
  }

  /** Whether the head of a request has not arrived whole. */
  get isReadingHead(): boolean {
    return (
      !this.current &&
      (this.feed.hasRest || this.socket.bytesRead > this.bytesReadBefore)
    );
  }

  /** Whether answers wait for the client to read. */
  get hasUnreadAnswer(): boolean {
    return this.socket.writableLength > 0;
  }

  /** Notes the progress since the last call. */
  sample(now: number): void {
    const {bytesRead, bytesWritten, writableLength} = this.socket;
    // Bytes that the operating system has taken.
    const sent = bytesWritten - writableLength;
    if (sent !== this.bytesSent || bytesRead !== this.bytesRead) {
      this.changedAt = now;
    }
    this.bytesRead = bytesRead;
    this.bytesSent = sent;
    this.headSince = this.isReadingHead ? (this.headSince ?? now) : undefined;
  }

  /** Sends what is written, and drops a bounded rest of the client's bytes. */
  drain(): void {
    const {socket} = this;
    if (this.isDraining || socket.destroyed) return;
    this.isDraining = true;
    const end = socket.bytesRead + DRAIN_BYTES;
    const endsAt = performance.now() + DRAIN_MILLISECONDS;
    const check = () => {
      if (socket.bytesRead > end || performance.now() > endsAt) {
        socket.destroy();
      }
    };
    const timer = setInterval(check, DRAIN_CHECK_MILLISECONDS);
    this.current?.request.on('data', check);
    socket.once('end', () => socket.destroy());
    socket.once('close', () => clearInterval(timer));
    socket.end();
    this.current?.request.resume();
    socket.resume();
  }
}
