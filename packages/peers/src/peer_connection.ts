import type {Clock} from '@cardamomfield/clock';
import {
  toTypedError,
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import type {Metrics} from '@cardamomfield/metrics';
import {
  createJSONRPCErrorResponse,
  createJSONRPCNotification,
  createJSONRPCSuccessResponse,
  JSONRPCClient,
  JSONRPCErrorCode,
  JSONRPCServer,
} from 'json-rpc-2.0';
import {type Either, Left, Right} from 'purify-ts';
import type {Envelope} from './envelope.js';
import type {HandlerTable} from './handler_table.js';
import type {Hello} from './hello.js';
import type {PeerLimits} from './peer_limits.js';
import type {PeerSocket} from './peer_socket.js';
import type {TrafficCounters} from './traffic_counters.js';
import type {WireAnswer} from './wire_answer.js';

interface PeerConnectionOptions {
  socket: PeerSocket;
  /** The `hello` that the other side sent. */
  peer: Hello;
  localRegion: string;
  clock: Clock;
  metrics: Metrics;
  traffic: TrafficCounters;
  limits: PeerLimits;
  handlers: HandlerTable;
  silenceMilliseconds: number;
  /** Called for every message; heartbeats pass their sections. */
  onMessage: (sections?: Record<string, unknown>) => void;
}

/** JSON-RPC in both directions over one socket, after the handshake. */
export class PeerConnection {
  readonly peer: Hello;
  /** Last version sent on this connection, by section name. */
  readonly sentVersions = new Map<string, number>();

  private readonly client: JSONRPCClient;
  private readonly server: JSONRPCServer;
  private readonly pending = new Set<number>();
  private nextIdentifier = 1;
  private inboundCalls = 0;
  private lastMessageAt: number;

  private constructor(private readonly options: PeerConnectionOptions) {
    this.peer = options.peer;
    this.lastMessageAt = options.clock.monotonicNow();
    this.client = new JSONRPCClient(request => this.transmit(request));
    this.server = new JSONRPCServer();
    this.server.applyMiddleware(async (_next, request) => {
      const answer = await this.answer(request.method, request.params.value);
      return createJSONRPCSuccessResponse(request.id ?? null, answer);
    });
  }

  static create(options: PeerConnectionOptions): PeerConnection {
    return new PeerConnection(options);
  }

  /** Handles messages until the connection closes; returns any error. */
  async serve(): Promise<TypedError | undefined> {
    void this.watchSilence();
    try {
      for (;;) {
        const received = await this.options.socket.receive();
        if (!received) return undefined;
        this.accept(received.message, received.bytes);
      }
    } catch (thrown) {
      return toTypedError(thrown);
    } finally {
      this.close();
    }
  }

  /** Calls a procedure of the peer and returns the answer undecoded. */
  async request(
    method: string,
    value: unknown,
    deadline: number,
  ): Promise<Either<TypedError, unknown>> {
    if (this.pending.size >= this.options.limits.maximumCallsInFlight) {
      return Left(this.unavailable('too-many-calls'));
    }
    const id = this.nextIdentifier++;
    const timer = new AbortController();
    this.pending.add(id);
    void this.expire(id, deadline, timer.signal);
    const params = {value};
    const request = {jsonrpc: '2.0' as const, id, method, params};
    const response = await this.client.requestAdvanced(request);
    timer.abort();
    if (response.error) return Left(toTypedError(response.error.data));
    return Right(response.result);
  }

  /** Sends a heartbeat; false when the send buffer is full. */
  sendHeartbeat(sections: Record<string, unknown>): boolean {
    const params = {value: sections};
    return this.send(createJSONRPCNotification('heartbeat', params)).isRight();
  }

  /** Closes the connection; pending calls end with an `UncertainError`. */
  close(): void {
    this.options.socket.destroy();
    for (const id of [...this.pending]) {
      this.failCall(id, this.uncertain('connection-closed'));
    }
  }

  private accept(message: Envelope['message'], bytes: number): void {
    this.lastMessageAt = this.options.clock.monotonicNow();
    this.options.traffic.countReceived(this.route(), bytes);
    if (!('method' in message)) {
      this.options.onMessage();
      this.acceptResponse(message.id, message.result);
    } else if (message.method === 'heartbeat') {
      this.options.onMessage(message.params.value as Record<string, unknown>);
    } else {
      this.options.onMessage();
      void this.acceptCall(message);
    }
  }

  private acceptResponse(id: number, result: unknown): void {
    if (!this.pending.delete(id)) {
      this.options.metrics.increment('peers.dropped_replies');
      return;
    }
    this.client.receive(createJSONRPCSuccessResponse(id, result));
  }

  private async acceptCall(
    request: Extract<Envelope['message'], {method: string}>,
  ): Promise<void> {
    const response = await this.server.receive(request);
    if (!response) return;
    const sent = this.send(response);
    if (sent.isRight()) return;
    const error = sent.extract() as TypedError;
    if (error.code === 'invalid-input') {
      const answer = {outcome: 'faulted', failure: error.toJSON()};
      this.send(createJSONRPCSuccessResponse(response.id, answer));
      return;
    }
    // Closing the connection tells the caller that its answer is lost.
    this.options.metrics.increment('peers.unsent_answers');
    this.close();
  }

  private async answer(method: string, value: unknown): Promise<WireAnswer> {
    if (this.inboundCalls >= this.options.limits.maximumCallsInFlight) {
      const error = this.unavailable('too-many-calls');
      return {outcome: 'refused', failure: error.toJSON()};
    }
    this.inboundCalls++;
    const {name, incarnation} = this.peer;
    const caller = {name, incarnation};
    const answer = await this.options.handlers.run(caller, method, value);
    this.inboundCalls--;
    return answer;
  }

  private async expire(
    id: number,
    deadline: number,
    signal: AbortSignal,
  ): Promise<void> {
    await this.options.clock.sleepUntil(deadline, signal);
    this.failCall(id, this.uncertain('deadline'));
  }

  /** Ends a pending call with a local error. */
  private failCall(id: number, error: TypedError): void {
    if (!this.pending.delete(id)) return;
    const code = JSONRPCErrorCode.InternalError;
    const {message} = error;
    this.client.receive(createJSONRPCErrorResponse(id, code, message, error));
  }

  /** Called by the JSON-RPC client to send a call. */
  private transmit(request: {id: number}): void {
    this.send(request).ifLeft(error => this.failCall(request.id, error));
  }

  /** Queues a message, or returns an error without sending anything. */
  private send(message: unknown): Either<TypedError, number> {
    return this.options.socket
      .send(message)
      .ifRight(bytes => this.options.traffic.countSent(this.route(), bytes));
  }

  private async watchSilence(): Promise<void> {
    const {clock, metrics, silenceMilliseconds, socket} = this.options;
    while (!socket.closing.aborted) {
      const deadline = this.lastMessageAt + silenceMilliseconds;
      if (clock.monotonicNow() >= deadline) {
        metrics.increment('peers.silent_connections');
        this.close();
        return;
      }
      await clock.sleepUntil(deadline, socket.closing);
    }
  }

  private route() {
    return {
      peer: this.peer.name,
      localRegion: this.options.localRegion,
      peerRegion: this.peer.region,
    };
  }

  private unavailable(reason: string): UnavailableError {
    const peer = this.peer.name;
    return UnavailableError.create(`call to "${peer}" was not sent`, {
      peer,
      reason,
    });
  }

  private uncertain(reason: string): UncertainError {
    const peer = this.peer.name;
    return UncertainError.create(`answer of "${peer}" was lost`, {
      peer,
      reason,
    });
  }
}
