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
import type {MemoryConnectionEnd} from './memory_connection_end.js';
import type {MemoryMessage} from './memory_message.js';
import {HEARTBEAT_PERIOD_MILLISECONDS} from './heartbeat_period.js';
import type {PeerIdentity} from './peer_identity.js';
import {ReceivedSections} from './received_sections.js';
import {SectionBoard} from './section_board.js';
import {SILENCE_MILLISECONDS} from './silence_limit.js';

interface Arrival {
  end: MemoryConnectionEnd;
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

/** One host's view of a `MemoryPeerHub`. */
export class MemoryPeerNetwork implements PeerNetwork {
  readonly self: string;
  readonly identity: PeerIdentity;
  readonly clock: Clock;
  readonly timeline: Timeline;
  /** Answers that came for no pending call. */
  droppedAnswers = 0;

  private readonly handlers = HandlerTable.create();
  private readonly board = SectionBoard.create();
  private readonly ends = new Map<string, MemoryConnectionEnd>();
  private readonly heard = new Map<string, number>();
  private readonly incarnations = new Map<string, string>();
  private readonly received = new Map<string, ReceivedSections>();
  private readonly listeners = new Set<() => void>();
  private readonly inbox: Arrival[] = [];
  private readonly onClosed: () => void;
  private running: Promise<void> | undefined;
  private wake: (() => void) | undefined;
  private dead = false;

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
    return [...this.ends.keys()].sort();
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
    const end = this.ends.get(peer);
    if (!end) return Left(unavailable(peer, 'not-connected'));
    if (this.clock.monotonicNow() >= deadline) {
      return Left(unavailable(peer, 'deadline'));
    }
    const body = toBody(encoded.extract());
    const answer = await end.request(method.name, body, deadline);
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
    this.board.publish(section, provider);
  }

  latest<Value>(
    peer: string,
    section: HeartbeatSection<Value>,
  ): {value: Value; receivedAt: number} | undefined {
    return this.received.get(peer)?.latest(section);
  }

  lastHeard(peer: string): number | undefined {
    return this.heard.get(peer);
  }

  onPeersChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  get isPaused(): boolean {
    return this.running !== undefined;
  }

  get isAlive(): boolean {
    return !this.dead;
  }

  /** Resolves at once, or after the end of a pause. */
  async whenRunning(): Promise<void> {
    while (this.running) await this.running;
  }

  pause(): void {
    this.running ??= new Promise(resolve => (this.wake = resolve));
  }

  resume(): void {
    this.running = undefined;
    for (const arrival of this.inbox.splice(0)) this.process(arrival);
    this.wake?.();
  }

  /** Ends the process: nothing is sent, received or run any more. */
  kill(): void {
    for (const end of [...this.ends.values()]) this.closeEnd(end);
    this.dead = true;
    this.inbox.length = 0;
    this.resume();
  }

  /** The open side of the connection to a peer, if there is one. */
  endTo(peer: string): MemoryConnectionEnd | undefined {
    return this.ends.get(peer);
  }

  /** Takes a new connection into use; it replaces an older one. */
  attach(end: MemoryConnectionEnd): void {
    const peer = end.peer.name;
    this.ends.get(peer)?.close();
    this.ends.set(peer, end);
    if (this.incarnations.get(peer) !== end.peer.incarnation) {
      this.incarnations.set(peer, end.peer.incarnation);
      this.received.set(peer, ReceivedSections.create());
    }
    this.heard.set(peer, this.clock.monotonicNow());
    void this.sendHeartbeats(end);
    void this.watchSilence(end);
    this.notify();
  }

  /** Called for every message that reaches this host. */
  receive(arrival: Arrival): void {
    if (this.dead) return;
    if (this.isPaused) this.inbox.push(arrival);
    else this.process(arrival);
  }

  private process({end, message, sentAt}: Arrival): void {
    if (!end.isOpen || this.dead) return;
    this.timeline.observe(sentAt);
    const now = this.clock.monotonicNow();
    end.lastHeard = now;
    this.heard.set(end.peer.name, now);
    switch (message.kind) {
      case 'call':
        void this.serve(end, message.id, message.method, message.body);
        return;
      case 'answer':
        if (!end.settle(message.id, message.body)) this.droppedAnswers++;
        return;
      case 'heartbeat':
        this.received.get(end.peer.name)?.accept(JSON.parse(message.body), now);
        return;
      case 'close':
        this.closeEnd(end);
        return;
    }
  }

  private async serve(
    end: MemoryConnectionEnd,
    id: number,
    method: string,
    body: string,
  ): Promise<void> {
    const {value} = JSON.parse(body) as {value?: unknown};
    const answer = await this.handlers.run(end.peer, method, value);
    await this.whenRunning();
    end.send({kind: 'answer', id, body: JSON.stringify(answer)});
  }

  private async sendHeartbeats(end: MemoryConnectionEnd): Promise<void> {
    let next = this.clock.monotonicNow();
    while (end.isOpen) {
      this.board.refresh();
      const sections = this.board.takeChanged(end.sentVersions);
      end.send({kind: 'heartbeat', body: JSON.stringify(sections)});
      next = this.clock.monotonicNow() + HEARTBEAT_PERIOD_MILLISECONDS;
      await this.clock.sleepUntil(next, end.closing);
      await this.whenRunning();
    }
  }

  private async watchSilence(end: MemoryConnectionEnd): Promise<void> {
    while (end.isOpen) {
      const deadline = end.lastHeard + SILENCE_MILLISECONDS;
      if (this.clock.monotonicNow() >= deadline) this.closeEnd(end);
      await this.clock.sleepUntil(deadline, end.closing);
      await this.whenRunning();
    }
  }

  private closeEnd(end: MemoryConnectionEnd): void {
    end.send({kind: 'close'});
    end.close();
    if (this.ends.get(end.peer.name) !== end) return;
    this.ends.delete(end.peer.name);
    this.notify();
    this.onClosed();
  }

  private notify(): void {
    for (const listener of [...this.listeners]) listener();
  }
}

function toBody(value: unknown): string {
  return JSON.stringify({value});
}

function unavailable(peer: string, reason: string): UnavailableError {
  return UnavailableError.create(`call to "${peer}" was not sent`, {
    peer,
    reason,
  });
}
