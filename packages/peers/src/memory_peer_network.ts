import type {Clock} from '@cardamomfield/clock';
import {type TypedError, UnavailableError} from '@cardamomfield/errors';
import type {
  HeartbeatSection,
  PeerMethod,
  PeerNetwork,
} from '@cardamomfield/peer-protocol';
import type {HybridTime, Timeline} from '@cardamomfield/timeline';
import {type Either, Left} from 'purify-ts';
import {decodeAnswer} from './decode_answer.js';
import {encodeParameters} from './encode_parameters.js';
import {HandlerTable} from './handler_table.js';
import type {MemoryEndpoint} from './memory_endpoint.js';
import type {MemoryMessage} from './memory_message.js';
import {HEARTBEAT_PERIOD_MILLISECONDS} from './heartbeat_period.js';
import type {PeerIdentity} from './peer_identity.js';
import {ReceivedSections} from './received_sections.js';
import {PublishedSections} from './published_sections.js';
import {SILENCE_MILLISECONDS} from './silence_limit.js';

interface ReceivedMessage {
  endpoint: MemoryEndpoint;
  message: MemoryMessage;
  sentAt: HybridTime;
}

interface MemoryPeerNetworkOptions {
  identity: PeerIdentity;
  clock: Clock;
  timeline: Timeline;
  /** Called when a connection of this host has closed. */
  onClosed: () => void;
}

/** The `PeerNetwork` of one host in a `MemoryPeerHub`. */
export class MemoryPeerNetwork implements PeerNetwork {
  readonly self: string;
  readonly identity: PeerIdentity;
  readonly clock: Clock;
  readonly timeline: Timeline;
  /** Number of answers that matched no pending call. */
  droppedAnswers = 0;

  private readonly handlers = HandlerTable.create();
  private readonly publishedSections = PublishedSections.create();
  private readonly endpoints = new Map<string, MemoryEndpoint>();
  private readonly lastMessageTimes = new Map<string, number>();
  private readonly incarnations = new Map<string, string>();
  private readonly receivedSections = new Map<string, ReceivedSections>();
  private readonly listeners = new Set<() => void>();
  private readonly inbox: ReceivedMessage[] = [];
  private readonly onClosed: () => void;
  private pauseEnded: Promise<void> | undefined;
  private endPause: (() => void) | undefined;
  private isKilled = false;

  private constructor(options: MemoryPeerNetworkOptions) {
    this.identity = options.identity;
    this.self = options.identity.name;
    this.clock = options.clock;
    this.timeline = options.timeline;
    this.onClosed = options.onClosed;
  }

  static create(options: MemoryPeerNetworkOptions): MemoryPeerNetwork {
    return new MemoryPeerNetwork(options);
  }

  livePeers(): readonly string[] {
    return [...this.endpoints.keys()].sort();
  }

  async call<Parameters, Result>(
    peer: string,
    method: PeerMethod<Parameters, Result>,
    parameters: Parameters,
    deadline: number,
  ): Promise<Either<TypedError, Result>> {
    const encoded = encodeParameters(method, parameters);
    if (encoded.isLeft()) return encoded;
    await this.whenRunning();
    const endpoint = this.endpoints.get(peer);
    if (!endpoint) return Left(unavailable(peer, 'not-connected'));
    if (this.clock.monotonicNow() >= deadline) {
      return Left(unavailable(peer, 'deadline'));
    }
    const body = encodeBody(encoded.extract());
    const answer = await endpoint.request(method.name, body, deadline);
    await this.whenRunning();
    return answer.chain(value => decodeAnswer(peer, method, value));
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
    return this.receivedSections.get(peer)?.latest(section);
  }

  lastMessageAt(peer: string): number | undefined {
    return this.lastMessageTimes.get(peer);
  }

  onPeersChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  get isPaused(): boolean {
    return this.pauseEnded !== undefined;
  }

  get isAlive(): boolean {
    return !this.isKilled;
  }

  /** Resolves immediately, or after the end of a pause. */
  async whenRunning(): Promise<void> {
    while (this.pauseEnded) await this.pauseEnded;
  }

  pause(): void {
    this.pauseEnded ??= new Promise(resolve => (this.endPause = resolve));
  }

  resume(): void {
    this.pauseEnded = undefined;
    for (const received of this.inbox.splice(0)) this.process(received);
    this.endPause?.();
  }

  /** Stops the host: from then on it sends, receives and runs nothing. */
  kill(): void {
    for (const endpoint of [...this.endpoints.values()]) this.close(endpoint);
    this.isKilled = true;
    this.inbox.length = 0;
    this.resume();
  }

  /** This host's endpoint of the connection to a peer, if one is open. */
  endpointTo(peer: string): MemoryEndpoint | undefined {
    return this.endpoints.get(peer);
  }

  /** Starts to use a new connection and closes the one that it replaces. */
  attach(endpoint: MemoryEndpoint): void {
    const peer = endpoint.peer.name;
    this.endpoints.get(peer)?.close();
    this.endpoints.set(peer, endpoint);
    if (this.incarnations.get(peer) !== endpoint.peer.incarnation) {
      this.incarnations.set(peer, endpoint.peer.incarnation);
      this.receivedSections.set(peer, ReceivedSections.create());
    }
    this.lastMessageTimes.set(peer, this.clock.monotonicNow());
    void this.sendHeartbeats(endpoint);
    void this.watchSilence(endpoint);
    this.notifyListeners();
  }

  /** Handles a message to this host, or queues it during a pause. */
  receive(received: ReceivedMessage): void {
    if (this.isKilled) return;
    if (this.isPaused) this.inbox.push(received);
    else this.process(received);
  }

  private process({endpoint, message, sentAt}: ReceivedMessage): void {
    if (!endpoint.isOpen || this.isKilled) return;
    this.timeline.observe(sentAt);
    const now = this.clock.monotonicNow();
    endpoint.lastMessageAt = now;
    this.lastMessageTimes.set(endpoint.peer.name, now);
    switch (message.kind) {
      case 'call':
        void this.serve(endpoint, message.id, message.method, message.body);
        return;
      case 'answer':
        if (!endpoint.settle(message.id, message.body)) this.droppedAnswers++;
        return;
      case 'heartbeat':
        this.receivedSections
          .get(endpoint.peer.name)
          ?.applyHeartbeat(JSON.parse(message.body), now);
        return;
      case 'close':
        this.close(endpoint);
        return;
    }
  }

  private async serve(
    endpoint: MemoryEndpoint,
    id: number,
    method: string,
    body: string,
  ): Promise<void> {
    const {value} = JSON.parse(body) as {value?: unknown};
    const answer = await this.handlers.run(endpoint.peer, method, value);
    await this.whenRunning();
    endpoint.send({kind: 'answer', id, body: JSON.stringify(answer)});
  }

  private async sendHeartbeats(endpoint: MemoryEndpoint): Promise<void> {
    let next = this.clock.monotonicNow();
    while (endpoint.isOpen) {
      this.publishedSections.refresh();
      const sections = this.publishedSections.takeUnsent(endpoint.sentVersions);
      endpoint.send({kind: 'heartbeat', body: JSON.stringify(sections)});
      next = this.clock.monotonicNow() + HEARTBEAT_PERIOD_MILLISECONDS;
      await this.clock.sleepUntil(next, endpoint.closing);
      await this.whenRunning();
    }
  }

  private async watchSilence(endpoint: MemoryEndpoint): Promise<void> {
    while (endpoint.isOpen) {
      const deadline = endpoint.lastMessageAt + SILENCE_MILLISECONDS;
      if (this.clock.monotonicNow() >= deadline) this.close(endpoint);
      await this.clock.sleepUntil(deadline, endpoint.closing);
      await this.whenRunning();
    }
  }

  private close(endpoint: MemoryEndpoint): void {
    endpoint.send({kind: 'close'});
    endpoint.close();
    if (this.endpoints.get(endpoint.peer.name) !== endpoint) return;
    this.endpoints.delete(endpoint.peer.name);
    this.notifyListeners();
    this.onClosed();
  }

  private notifyListeners(): void {
    for (const listener of [...this.listeners]) listener();
  }
}

function encodeBody(value: unknown): string {
  return JSON.stringify({value});
}

function unavailable(peer: string, reason: string): UnavailableError {
  return UnavailableError.create(`call to "${peer}" was not sent`, {
    peer,
    reason,
  });
}
