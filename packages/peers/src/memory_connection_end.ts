import {
  InternalError,
  type TypedError,
  UncertainError,
} from '@cardamomfield/errors';
import type {HybridTime} from '@cardamomfield/timeline';
import {type Either, Left, Right} from 'purify-ts';
import type {MemoryChannel} from './memory_channel.js';
import type {MemoryMessage} from './memory_message.js';
import type {MemoryPeerNetwork} from './memory_peer_network.js';
import type {PeerIdentity} from './peer_identity.js';

type Settle = (outcome: Either<TypedError, unknown>) => void;

interface MemoryConnectionEndOptions {
  network: MemoryPeerNetwork;
  peer: PeerIdentity;
  channel: MemoryChannel;
  /** Shared by both ends; a silent connection swallows every message. */
  connection: {silent: boolean};
}

/** One host's side of a connection in memory. */
export class MemoryConnectionEnd {
  readonly peer: PeerIdentity;
  readonly connection: {silent: boolean};
  readonly sentVersions = new Map<string, number>();
  lastHeard: number;

  private readonly closed = new AbortController();
  private readonly pending = new Map<number, Settle>();
  private readonly network: MemoryPeerNetwork;
  private readonly channel: MemoryChannel;
  private other: MemoryConnectionEnd | undefined;
  private nextIdentifier = 1;

  private constructor(options: MemoryConnectionEndOptions) {
    this.peer = options.peer;
    this.connection = options.connection;
    this.network = options.network;
    this.channel = options.channel;
    this.lastHeard = options.network.clock.monotonicNow();
  }

  static create(options: MemoryConnectionEndOptions): MemoryConnectionEnd {
    return new MemoryConnectionEnd(options);
  }

  /** Joins two ends into one connection. */
  join(other: MemoryConnectionEnd): void {
    this.other = other;
    other.other = this;
  }

  get isOpen(): boolean {
    return !this.closed.signal.aborted;
  }

  /** Aborts when this end closes. */
  get closing(): AbortSignal {
    return this.closed.signal;
  }

  send(message: MemoryMessage): void {
    if (!this.isOpen || this.connection.silent) return;
    if (!this.other) throw InternalError.create('connection has one end only');
    const sentAt = this.network.timeline.now();
    this.channel.send({to: this.other, message, sentAt});
  }

  /** Called by the channel when a message reaches this host. */
  arrive(message: MemoryMessage, sentAt: HybridTime): void {
    if (this.connection.silent) return;
    this.network.receive({end: this, message, sentAt});
  }

  /** Sends a call and returns the parsed answer. */
  async request(
    method: string,
    body: string,
    deadline: number,
  ): Promise<Either<TypedError, unknown>> {
    const id = this.nextIdentifier++;
    const timer = new AbortController();
    const answer = new Promise<Either<TypedError, unknown>>(resolve =>
      this.pending.set(id, resolve),
    );
    void this.expire(id, deadline, timer.signal);
    this.send({kind: 'call', id, method, body});
    const outcome = await answer;
    timer.abort();
    return outcome;
  }

  /** Ends the call that an answer belongs to; false when there is none. */
  settle(id: number, body: string): boolean {
    const settle = this.pending.get(id);
    this.pending.delete(id);
    settle?.(Right(JSON.parse(body)));
    return settle !== undefined;
  }

  /** Closes this end; calls without an answer become uncertain. */
  close(): void {
    if (!this.isOpen) return;
    this.closed.abort();
    for (const settle of this.pending.values()) {
      settle(Left(this.uncertain('connection-closed')));
    }
    this.pending.clear();
  }

  private async expire(
    id: number,
    deadline: number,
    signal: AbortSignal,
  ): Promise<void> {
    await this.network.clock.sleepUntil(deadline, signal);
    // A paused process runs no timers; after the pause it reads its sockets
    // before the timer fires.
    await this.network.whenRunning();
    const settle = this.pending.get(id);
    this.pending.delete(id);
    settle?.(Left(this.uncertain('deadline')));
  }

  private uncertain(reason: string): UncertainError {
    const peer = this.peer.name;
    return UncertainError.create(`answer of "${peer}" was lost`, {
      peer,
      reason,
    });
  }
}
