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

interface MemoryEndpointOptions {
  network: MemoryPeerNetwork;
  peer: PeerIdentity;
  channel: MemoryChannel;
  /** Shared by both endpoints; a silent connection drops every message. */
  connection: {silent: boolean};
}

/** One host's side of an in-memory connection. */
export class MemoryEndpoint {
  readonly peer: PeerIdentity;
  readonly connection: {silent: boolean};
  readonly sentVersions = new Map<string, number>();
  lastMessageAt: number;

  private readonly closed = new AbortController();
  private readonly pending = new Map<number, Settle>();
  private readonly network: MemoryPeerNetwork;
  private readonly channel: MemoryChannel;
  private remote: MemoryEndpoint | undefined;
  private nextIdentifier = 1;

  private constructor(options: MemoryEndpointOptions) {
    this.peer = options.peer;
    this.connection = options.connection;
    this.network = options.network;
    this.channel = options.channel;
    this.lastMessageAt = options.network.clock.monotonicNow();
  }

  static create(options: MemoryEndpointOptions): MemoryEndpoint {
    return new MemoryEndpoint(options);
  }

  /** Joins two endpoints into one connection. */
  join(other: MemoryEndpoint): void {
    this.remote = other;
    other.remote = this;
  }

  get isOpen(): boolean {
    return !this.closed.signal.aborted;
  }

  /** Aborts when this endpoint closes. */
  get closing(): AbortSignal {
    return this.closed.signal;
  }

  send(message: MemoryMessage): void {
    if (!this.isOpen || this.connection.silent) return;
    if (!this.remote) throw InternalError.create('endpoint is not connected');
    const sentAt = this.network.timeline.now();
    this.channel.send({to: this.remote, message, sentAt});
  }

  /** Called by the channel for each message to this host. */
  deliver(message: MemoryMessage, sentAt: HybridTime): void {
    if (this.connection.silent) return;
    this.network.receive({endpoint: this, message, sentAt});
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

  /** Completes the call with this identifier; false if none is pending. */
  settle(id: number, body: string): boolean {
    const settle = this.pending.get(id);
    this.pending.delete(id);
    settle?.(Right(JSON.parse(body)));
    return settle !== undefined;
  }

  /** Closes this endpoint; pending calls end with an `UncertainError`. */
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
    // A paused process runs no timers. After the pause it reads its sockets
    // before expired timers fire.
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
