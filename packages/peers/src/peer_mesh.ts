import {createServer, type Server, type Socket} from 'node:net';
import type {Clock, RandomSource} from '@cardamomfield/clock';
import {
  RefusedError,
  type TypedError,
  UnavailableError,
} from '@cardamomfield/errors';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';
import type {
  HeartbeatSection,
  PeerMethod,
  PeerNetwork,
} from '@cardamomfield/peer-protocol';
import {Backoff} from '@cardamomfield/retries';
import type {Timeline} from '@cardamomfield/timeline';
import {type Either, Left, Right} from 'purify-ts';
import {connectSocket} from './connect_socket.js';
import {decodeAnswer} from './decode_answer.js';
import {encodeParameters} from './encode_parameters.js';
import {HandlerTable} from './handler_table.js';
import {Handshake} from './handshake.js';
import {HEARTBEAT_PERIOD_MILLISECONDS} from './heartbeat_period.js';
import type {Hello} from './hello.js';
import {isOlderIncarnation} from './is_older_incarnation.js';
import type {PeerAddress} from './peer_address.js';
import {PeerConnection} from './peer_connection.js';
import type {PeerIdentity} from './peer_identity.js';
import type {PeerLimits} from './peer_limits.js';
import {PeerSocket} from './peer_socket.js';
import {PROTOCOL_VERSION} from './protocol_version.js';
import {ReceivedSections} from './received_sections.js';
import {PublishedSections} from './published_sections.js';
import {SILENCE_MILLISECONDS} from './silence_limit.js';
import {TrafficCounters} from './traffic_counters.js';

/** Back-off between attempts to connect to a peer. */
const INITIAL_BACKOFF_MILLISECONDS = 50;
const MAXIMUM_BACKOFF_MILLISECONDS = 1_000;

const DEFAULT_LIMITS: PeerLimits = {
  maximumFrameBytes: 4 * 1024 * 1024,
  maximumCallsInFlight: 1_024,
  maximumSendBufferBytes: 4 * 1024 * 1024 + 64 * 1024,
};

interface PeerMeshOptions {
  self: {
    name: string;
    incarnation: string;
    region: string;
    availabilityZone: string;
  };
  /** IP address and port to listen on; port 0 lets the system choose. */
  address: string;
  port: number;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  metrics: Metrics;
  timeline: Timeline;
  heartbeatPeriodMilliseconds?: number;
  silenceMilliseconds?: number;
  limits?: Partial<PeerLimits>;
}

interface KnownPeer {
  address: PeerAddress;
  /** Ends the task that dials this peer. */
  removal: AbortController;
}

interface PeerState {
  incarnation: string;
  lastMessageAt: number;
  sections: ReceivedSections;
}

/** Calls between entry hosts over TCP; one connection for each pair. */
export class PeerMesh implements PeerNetwork {
  readonly self: string;
  /** Bytes and messages by peer and by region. */
  readonly traffic: TrafficCounters;

  private readonly hello: Hello;
  private readonly limits: PeerLimits;
  private readonly heartbeatPeriodMilliseconds: number;
  private readonly silenceMilliseconds: number;
  private readonly handshake: Handshake;
  private readonly handlers = HandlerTable.create();
  private readonly publishedSections = PublishedSections.create();
  private readonly knownPeers = new Map<string, KnownPeer>();
  private readonly connections = new Map<string, PeerConnection>();
  private readonly peerStates = new Map<string, PeerState>();
  private readonly sockets = new Set<PeerSocket>();
  private readonly listeners = new Set<() => void>();
  private readonly tasks = new Set<Promise<void>>();
  private readonly closing = new AbortController();
  private server: Server | undefined;

  private constructor(private readonly options: PeerMeshOptions) {
    this.self = options.self.name;
    this.traffic = TrafficCounters.create(options.metrics);
    this.limits = {...DEFAULT_LIMITS, ...options.limits};
    this.heartbeatPeriodMilliseconds =
      options.heartbeatPeriodMilliseconds ?? HEARTBEAT_PERIOD_MILLISECONDS;
    this.silenceMilliseconds =
      options.silenceMilliseconds ?? SILENCE_MILLISECONDS;
    this.hello = {
      ...options.self,
      protocolVersion: PROTOCOL_VERSION,
      startedAt: options.clock.wallNow(),
    };
    this.handshake = Handshake.create({
      clock: options.clock,
      self: this.hello,
      timeoutMilliseconds: this.silenceMilliseconds,
    });
  }

  static create(options: PeerMeshOptions): PeerMesh {
    return new PeerMesh(options);
  }

  /** Starts to accept connections and returns the port. */
  async listen(): Promise<Either<UnavailableError, number>> {
    const {address, port} = this.options;
    const server = createServer(socket =>
      this.spawn(this.acceptConnection(socket)),
    );
    const failure = await new Promise<Error | undefined>(resolve => {
      server.once('error', resolve);
      server.listen(port, address, () => resolve(undefined));
    });
    if (failure) {
      const message = `cannot listen on ${address}:${port}`;
      return Left(UnavailableError.create(message, {address, port}, failure));
    }
    server.on('error', error =>
      this.options.logger.error('peer server failed', {error: error.message}),
    );
    this.server = server;
    this.spawn(this.sendHeartbeats());
    const bound = server.address();
    return Right(typeof bound === 'object' && bound ? bound.port : port);
  }

  /** Replaces the list of peers; closes connections to removed peers. */
  setPeers(peers: readonly PeerAddress[]): void {
    const listed = new Map(
      peers
        .filter(peer => peer.name !== this.self)
        .map(peer => [peer.name, peer]),
    );
    for (const [name, {address}] of this.knownPeers) {
      if (!isSameAddress(listed.get(name), address)) this.removePeer(name);
    }
    for (const [name, address] of listed) {
      if (!this.knownPeers.has(name)) this.addPeer(address);
    }
  }

  /** Closes every connection and waits for all tasks to end. */
  async close(): Promise<void> {
    this.closing.abort();
    for (const name of [...this.knownPeers.keys()]) this.removePeer(name);
    for (const socket of [...this.sockets]) socket.destroy();
    this.server?.close();
    await Promise.all(this.tasks);
  }

  livePeers(): readonly string[] {
    return [...this.connections.keys()].sort();
  }

  async call<Parameters, Result>(
    peer: string,
    method: PeerMethod<Parameters, Result>,
    parameters: Parameters,
    deadline: number,
  ): Promise<Either<TypedError, Result>> {
    const encoded = encodeParameters(method, parameters);
    if (encoded.isLeft()) return encoded;
    const connection = this.connections.get(peer);
    if (!connection) return Left(unavailable(peer, 'not-connected'));
    if (this.options.clock.monotonicNow() >= deadline) {
      return Left(unavailable(peer, 'deadline'));
    }
    const value = encoded.extract();
    const answer = await connection.request(method.name, value, deadline);
    return answer.chain(received => decodeAnswer(peer, method, received));
  }

  handle<Parameters, Result>(
    method: PeerMethod<Parameters, Result>,
    handler: (
      peer: PeerIdentity,
      parameters: Parameters,
    ) => Promise<Either<TypedError, Result>>,
  ): void {
    this.handlers.set(method, handler);
  }

  publish<Value>(
    section: HeartbeatSection<Value>,
    provider: () => Value,
  ): void {
    this.publishedSections.publish(section, provider);
  }

  latest<Value>(
    peer: string,
    section: HeartbeatSection<Value>,
  ): {value: Value; receivedAt: number} | undefined {
    return this.peerStates.get(peer)?.sections.latest(section);
  }

  lastMessageAt(peer: string): number | undefined {
    return this.peerStates.get(peer)?.lastMessageAt;
  }

  onPeersChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private addPeer(address: PeerAddress): void {
    const removal = new AbortController();
    this.knownPeers.set(address.name, {address, removal});
    if (this.self < address.name) {
      this.spawn(this.keepConnected(address, removal.signal));
    }
  }

  private removePeer(name: string): void {
    this.knownPeers.get(name)?.removal.abort();
    this.knownPeers.delete(name);
    this.connections.get(name)?.close();
  }

  /** Dials one peer, serves until the connection closes, backs off, repeats. */
  private async keepConnected(
    address: PeerAddress,
    signal: AbortSignal,
  ): Promise<void> {
    const backoff = Backoff.create({
      clock: this.options.clock,
      random: this.options.random,
      initialMilliseconds: INITIAL_BACKOFF_MILLISECONDS,
      maximumMilliseconds: MAXIMUM_BACKOFF_MILLISECONDS,
    });
    while (!signal.aborted) {
      const outcome = await this.dial(address, signal);
      if (outcome.isRight()) {
        backoff.reset();
        await this.serve(outcome.extract() as PeerConnection);
      } else if (!signal.aborted) {
        this.reportFailure(address.name, outcome.extract() as TypedError);
      }
      await this.options.clock.sleepUntil(backoff.nextDeadline(), signal);
    }
  }

  private async dial(
    address: PeerAddress,
    signal: AbortSignal,
  ): Promise<Either<TypedError, PeerConnection>> {
    const opened = await this.connect(address, signal);
    if (opened.isLeft()) return opened;
    const socket = this.wrapSocket(opened.extract() as Socket);
    const destroySocket = () => socket.destroy();
    signal.addEventListener('abort', destroySocket);
    const hello = await this.handshake.initiate(socket);
    signal.removeEventListener('abort', destroySocket);
    const outcome = hello.chain(peer =>
      peer.name === address.name
        ? Right(this.createConnection(socket, peer))
        : Left(wrongName(address.name, peer.name)),
    );
    if (outcome.isLeft() || signal.aborted) socket.destroy();
    return outcome;
  }

  private async connect(
    {address, port}: PeerAddress,
    signal: AbortSignal,
  ): Promise<Either<UnavailableError, Socket>> {
    const {clock} = this.options;
    const timeout = new AbortController();
    const deadline = clock.monotonicNow() + this.silenceMilliseconds;
    const timer = new AbortController();
    void clock.sleepUntil(deadline, timer.signal).then(() => timeout.abort());
    const signalOrTimeout = AbortSignal.any([signal, timeout.signal]);
    const opened = await connectSocket(address, port, signalOrTimeout);
    timer.abort();
    return opened;
  }

  /** Runs the handshake on a connection that a peer opened, then serves it. */
  private async acceptConnection(accepted: Socket): Promise<void> {
    const socket = this.wrapSocket(accepted);
    const hello = await this.handshake.receiveHello(socket);
    const admitted = hello.chain(peer => this.admit(peer));
    if (admitted.isLeft()) {
      const error = admitted.extract();
      this.options.metrics.increment('peers.refused_hellos');
      this.reportFailure(hello.map(peer => peer.name).orDefault('?'), error);
      this.handshake.refuse(socket, error);
      return;
    }
    this.handshake.accept(socket);
    const peer = admitted.extract() as Hello;
    await this.serve(this.createConnection(socket, peer));
  }

  private admit(peer: Hello): Either<TypedError, Hello> {
    if (peer.name === this.self) return Left(duplicateName(peer.name));
    if (!this.knownPeers.has(peer.name)) {
      return Left(
        RefusedError.create(`"${peer.name}" is not a known peer`, {
          reason: 'unknown-peer',
        }),
      );
    }
    if (peer.name > this.self) {
      return Left(
        RefusedError.create(`"${this.self}" opens this connection`, {
          reason: 'wrong-direction',
        }),
      );
    }
    const current = this.connections.get(peer.name);
    if (current && isOlderIncarnation(peer, current.peer)) {
      return Left(duplicateName(peer.name));
    }
    return Right(peer);
  }

  private wrapSocket(accepted: Socket): PeerSocket {
    const socket = PeerSocket.create({
      socket: accepted,
      limits: this.limits,
      timeline: this.options.timeline,
    });
    this.sockets.add(socket);
    accepted.once('close', () => this.sockets.delete(socket));
    if (this.closing.signal.aborted) socket.destroy();
    return socket;
  }

  private createConnection(socket: PeerSocket, peer: Hello): PeerConnection {
    const {clock, metrics, self} = this.options;
    return PeerConnection.create({
      socket,
      peer,
      clock,
      metrics,
      localRegion: self.region,
      traffic: this.traffic,
      limits: this.limits,
      handlers: this.handlers,
      silenceMilliseconds: this.silenceMilliseconds,
      onMessage: sections => this.recordMessage(peer, sections),
    });
  }

  /** Uses a connection until it closes. */
  private async serve(connection: PeerConnection): Promise<void> {
    const {name, incarnation} = connection.peer;
    this.connections.get(name)?.close();
    this.connections.set(name, connection);
    if (this.peerStates.get(name)?.incarnation !== incarnation) {
      const sections = ReceivedSections.create();
      this.peerStates.set(name, {incarnation, lastMessageAt: 0, sections});
    }
    this.recordMessage(connection.peer);
    this.options.timeline.record('peer.connected', {peer: name, incarnation});
    this.publishedSections.refresh();
    this.sendHeartbeat(connection);
    this.notifyListeners();
    const error = await connection.serve();
    if (error) this.reportFailure(name, error);
    if (this.connections.get(name) !== connection) return;
    this.connections.delete(name);
    this.options.timeline.record('peer.disconnected', {peer: name});
    this.notifyListeners();
  }

  private recordMessage(peer: Hello, sections?: Record<string, unknown>): void {
    const state = this.peerStates.get(peer.name);
    // Late messages of an earlier incarnation must not count for the next.
    if (!state || state.incarnation !== peer.incarnation) return;
    state.lastMessageAt = this.options.clock.monotonicNow();
    if (sections) state.sections.applyHeartbeat(sections, state.lastMessageAt);
  }

  private async sendHeartbeats(): Promise<void> {
    const {clock} = this.options;
    const {signal} = this.closing;
    while (!signal.aborted) {
      this.publishedSections.refresh();
      for (const connection of this.connections.values()) {
        this.sendHeartbeat(connection);
      }
      const next = clock.monotonicNow() + this.heartbeatPeriodMilliseconds;
      await clock.sleepUntil(next, signal);
    }
  }

  private sendHeartbeat(connection: PeerConnection): void {
    const sections = this.publishedSections.takeUnsent(connection.sentVersions);
    if (connection.sendHeartbeat(sections)) return;
    // Send every section again once the buffer has capacity.
    connection.sentVersions.clear();
    this.options.metrics.increment('peers.skipped_heartbeats');
  }

  private reportFailure(peer: string, error: TypedError): void {
    if (this.closing.signal.aborted) return;
    const reason = String(error.details.reason ?? error.code);
    this.options.metrics.increment('peers.connection_failures', 1, {reason});
    if (error.code === 'invalid-input') {
      this.options.metrics.increment('peers.malformed_frames');
    }
    this.options.logger.warn('peer connection failed', {
      peer,
      code: error.code,
      reason,
      error: error.message,
    });
  }

  private notifyListeners(): void {
    for (const listener of [...this.listeners]) listener();
  }

  private spawn(task: Promise<void>): void {
    const tracked = task
      .catch((error: unknown) =>
        this.options.logger.error('peer task failed', {error: String(error)}),
      )
      .finally(() => this.tasks.delete(tracked));
    this.tasks.add(tracked);
  }
}

function isSameAddress(
  first: PeerAddress | undefined,
  second: PeerAddress,
): boolean {
  return first?.address === second.address && first.port === second.port;
}

function unavailable(peer: string, reason: string): UnavailableError {
  return UnavailableError.create(`call to "${peer}" was not sent`, {
    peer,
    reason,
  });
}

function duplicateName(name: string): RefusedError {
  return RefusedError.create(`a later process is named "${name}"`, {
    reason: 'duplicate-name',
    name,
  });
}

function wrongName(expected: string, name: string): RefusedError {
  return RefusedError.create(`peer is named "${name}", not "${expected}"`, {
    reason: 'wrong-name',
    name,
    expected,
  });
}
