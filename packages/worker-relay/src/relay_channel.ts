import {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {HostRecord, WorkerDescription} from '@cardamomfield/cell-model';
import {
  CallDeadline,
  type Clock,
  afterPendingInput,
} from '@cardamomfield/clock';
import {
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import type {Logger} from '@cardamomfield/logger';
import {JSONRPCClient, isJSONRPCResponse} from 'json-rpc-2.0';
import {type Either, Left, Right} from 'purify-ts';
import {Client} from 'undici';
import type {z} from 'zod';
import {FrameStream} from './frame_stream.js';
import {RelayMethod} from './relay_method.js';

/** Protocol name of the HTTP upgrade that opens a channel. */
const PROTOCOL = 'cardamomfield-relay';

/** Time limit for each step of opening a channel: connect, upgrade, `open`. */
const CONNECT_TIMEOUT_MILLISECONDS = 700;

/**
 * A channel is closed when a call on it times out and no other message has
 * arrived for this long.
 */
const SILENCE_MILLISECONDS = 600;

/**
 * Time after its limit when the library drops a call that has no answer. The
 * channel ends the call before that, once it has read what has arrived.
 */
const UNANSWERED_MILLISECONDS = 5_000;

interface RelayChannelOptions {
  host: HostRecord;
  epoch: number;
  ownerName: string;
  clock: Clock;
  logger: Logger;
  /** Called once when the channel is closed. */
  onClosed: () => void;
}

/** Payloads that the relay caches for a channel; a few megabytes at most. */
const MAXIMUM_CACHED_PAYLOADS = 512;

/** One owner's channel to one relay host. */
export class RelayChannel {
  static readonly protocol = PROTOCOL;
  private readonly client: JSONRPCClient<CallDeadline | undefined>;
  private readonly opened: Promise<Either<TypedError, FrameStream>>;
  private http: Client | undefined;
  private stream: FrameStream | undefined;
  private handles = new Map<WorkerDescription, number>();
  private readonly payloadKeys = new Map<string, number>();
  private lastMessageAt: number;
  private nextId = 1;
  private isClosed = false;

  private constructor(private readonly options: RelayChannelOptions) {
    this.lastMessageAt = options.clock.monotonicNow();
    this.client = new JSONRPCClient<CallDeadline | undefined>(
      (message, deadline) => this.stream?.send(message, deadline),
      () => this.nextId++,
    );
    this.opened = this.open();
  }

  static create(options: RelayChannelOptions): RelayChannel {
    return new RelayChannel(options);
  }

  get hostName(): string {
    return this.options.host.name;
  }

  get isOpen(): boolean {
    return !this.isClosed;
  }

  /**
   * Calls a worker through the relay; a payload is sent once for all calls that
   * share it. `UnavailableError` means that nothing was sent, `UncertainError`
   * that the call may have been carried out or may still be. A call that has
   * not left within its time limit is never sent.
   */
  async call<Result extends z.ZodType>(
    worker: WorkerDescription,
    method: string,
    parameters: Record<string, unknown>,
    result: Result,
    timeoutMilliseconds: number,
    payload?: string,
  ): Promise<Either<TypedError, z.infer<Result>>> {
    const deadline = CallDeadline.create(
      this.options.clock,
      timeoutMilliseconds,
    );
    if (!this.stream) {
      const opened = await this.opened;
      if (opened.isLeft()) return Left(opened.extract() as TypedError);
    }
    if (this.isClosed) {
      return Left(UnavailableError.create('the relay channel is closed'));
    }
    const sentAt = this.options.clock.monotonicNow();
    try {
      const answer = await this.request(
        method,
        {
          handle: this.handleOf(worker),
          ...(payload === undefined
            ? {}
            : {payloadKey: this.payloadKeyOf(payload)}),
          ...parameters,
        },
        timeoutMilliseconds,
        deadline,
      );
      const parsed = result.safeParse(answer);
      if (parsed.success) return Right(parsed.data);
      return Left(
        UncertainError.create(
          `relay ${this.hostName} sent a malformed answer`,
          {
            method,
          },
        ),
      );
    } catch (thrown) {
      this.closeIfSilent(sentAt);
      return Left(
        UncertainError.create(
          `no answer through relay ${this.hostName}: ${String(thrown)}`,
        ),
      );
    }
  }

  close(): void {
    this.terminate('closed by this host');
  }

  private async open(): Promise<Either<TypedError, FrameStream>> {
    const {host, epoch, ownerName} = this.options;
    try {
      // Throws for an address that is none.
      this.http = new Client(`http://${host.address}`, {
        connect: {timeout: CONNECT_TIMEOUT_MILLISECONDS},
        headersTimeout: CONNECT_TIMEOUT_MILLISECONDS,
      });
      const {socket} = await this.http.upgrade({
        path: '/relay',
        protocol: PROTOCOL,
      });
      if (this.isClosed) {
        socket.destroy();
        return Left(UnavailableError.create('the relay channel is closed'));
      }
      this.stream = this.createStream(socket);
      this.lastMessageAt = this.options.clock.monotonicNow();
      // The relay handles calls in order, so it serves later ones after this.
      void this.request(
        RelayMethod.open,
        {epoch, ownerName},
        CONNECT_TIMEOUT_MILLISECONDS,
      ).then(undefined, (thrown: unknown) => this.terminate(String(thrown)));
      return Right(this.stream);
    } catch (thrown) {
      this.terminate(String(thrown));
      return Left(
        UnavailableError.create(
          `relay ${this.hostName} could not be reached: ${String(thrown)}`,
        ),
      );
    }
  }

  /**
   * Rejects a call without an answer within its time limit. What has arrived is
   * read first: after a long turn of the event loop timers fire before sockets
   * are read.
   */
  private async request(
    method: string,
    parameters: Record<string, unknown>,
    timeoutMilliseconds: number,
    deadline?: CallDeadline,
  ): Promise<unknown> {
    let timer: NodeJS.Timeout | undefined;
    const timedOut = new Promise<never>((_resolve, reject) => {
      timer = setTimeout(() => {
        void afterPendingInput().then(() => reject(new Error('timed out')));
      }, timeoutMilliseconds);
    });
    try {
      return await Promise.race([
        timedOut,
        this.client
          .timeout(timeoutMilliseconds + UNANSWERED_MILLISECONDS)
          .request(method, parameters, deadline),
      ]);
    } finally {
      clearTimeout(timer);
    }
  }

  private createStream(socket: Duplex): FrameStream {
    if (socket instanceof Socket) socket.setNoDelay(true);
    return FrameStream.create({
      socket,
      batchMilliseconds: 0,
      onMessage: message => {
        this.lastMessageAt = this.options.clock.monotonicNow();
        if (isJSONRPCResponse(message)) this.client.receive(message);
      },
      onClosed: cause => this.terminate(cause?.message ?? 'closed'),
    });
  }

  /** The worker's handle on this channel; opened before its first use. */
  private handleOf(worker: WorkerDescription): number {
    const known = this.handles.get(worker);
    if (known !== undefined) return known;
    const handle = this.nextId++;
    this.handles.set(worker, handle);
    this.client.notify(RelayMethod.openWorker, {handle, worker}, undefined);
    return handle;
  }

  /** The payload's key on this channel; cached before its first use. */
  private payloadKeyOf(payload: string): number {
    const known = this.payloadKeys.get(payload);
    if (known !== undefined) return known;
    if (this.payloadKeys.size >= MAXIMUM_CACHED_PAYLOADS) {
      this.payloadKeys.clear();
      this.client.notify(RelayMethod.clearPayloads, {}, undefined);
    }
    const payloadKey = this.nextId++;
    this.payloadKeys.set(payload, payloadKey);
    this.client.notify(
      RelayMethod.cachePayload,
      {payloadKey, payload},
      undefined,
    );
    return payloadKey;
  }

  private closeIfSilent(sentAt: number): void {
    const now = this.options.clock.monotonicNow();
    const silence =
      now - Math.max(this.lastMessageAt, sentAt - SILENCE_MILLISECONDS);
    if (silence > SILENCE_MILLISECONDS) this.terminate('relay did not respond');
  }

  private terminate(cause: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.options.logger.info('channel to relay closed', {
      relay: this.hostName,
      cause,
    });
    this.stream?.close();
    void this.http?.destroy();
    this.client.rejectAllPendingRequests(cause);
    this.options.onClosed();
  }
}
