import type {Clock} from '@cardamomfield/clock';
import {NotFoundError} from '@cardamomfield/errors';
import {Timeline} from '@cardamomfield/timeline';
import {MemoryChannel} from './memory_channel.js';
import {MemoryEndpoint} from './memory_endpoint.js';
import {MemoryPeerNetwork} from './memory_peer_network.js';

/** Time from the loss of a connection to the next connection attempt. */
const RECONNECT_DELAY_MILLISECONDS = 100;

interface MemoryPeerHubOptions {
  /** Clock of message delays and of hosts that have no clock of their own. */
  clock: Clock;
}

interface MemoryHostOptions {
  name: string;
  /** Default: the name followed by how often it has joined, as in `a-1`. */
  incarnation?: string;
  /** Set for hosts whose clocks differ; default: the clock of the hub. */
  clock?: Clock;
  /** Default: a new time line for this host. */
  timeline?: Timeline;
}

/**
 * Connects simulated hosts inside one process as `PeerMesh` connects processes
 * and injects faults on request. Connections behave like TCP connections:
 * messages keep their order, a connection closes after 2,000 ms without a
 * message, and it is replaced once both directions work.
 */
export class MemoryPeerHub {
  private readonly hosts = new Map<string, MemoryPeerNetwork>();
  private readonly channels = new Map<string, MemoryChannel>();
  private readonly joinCounts = new Map<string, number>();
  private readonly connecting = new Set<string>();

  private constructor(private readonly clock: Clock) {}

  static create(options: MemoryPeerHubOptions): MemoryPeerHub {
    return new MemoryPeerHub(options.clock);
  }

  /** Starts a host. A running host of the same name is killed first. */
  join(options: MemoryHostOptions): MemoryPeerNetwork {
    const {name} = options;
    if (this.hosts.has(name)) this.kill(name);
    const count = (this.joinCounts.get(name) ?? 0) + 1;
    this.joinCounts.set(name, count);
    const clock = options.clock ?? this.clock;
    const network = MemoryPeerNetwork.create({
      identity: {name, incarnation: options.incarnation ?? `${name}-${count}`},
      clock,
      timeline: options.timeline ?? Timeline.create({process: name, clock}),
      onClosed: () => void this.reconnectLater(),
    });
    this.hosts.set(name, network);
    this.connectAll();
    return network;
  }

  /** Stops a host; its connections to all peers close. */
  kill(name: string): void {
    const network = this.host(name);
    this.hosts.delete(name);
    network.kill();
  }

  /** Stops every host. */
  close(): void {
    for (const name of [...this.hosts.keys()]) this.kill(name);
  }

  /** Suspends the host's work and message handling until `resume`. */
  pause(name: string): void {
    this.host(name).pause();
  }

  /** Ends a pause; messages received during it are handled in order. */
  resume(name: string): void {
    this.host(name).resume();
    this.connectAll();
  }

  /** Sets the one-way delay of messages sent from now on. */
  setDelay(from: string, to: string, milliseconds: number): void {
    this.channel(from, to).delayMilliseconds = milliseconds;
  }

  /** Holds messages in one direction until it is healed. */
  cutOneWay(from: string, to: string): void {
    this.channel(from, to).cut();
  }

  /** Holds messages in both directions until they are healed. */
  cut(first: string, second: string): void {
    this.cutOneWay(first, second);
    this.cutOneWay(second, first);
  }

  /** Ends the cut of one direction. */
  healOneWay(from: string, to: string): void {
    this.channel(from, to).heal();
    this.connectAll();
  }

  /** Ends the cuts of both directions. */
  heal(first: string, second: string): void {
    this.healOneWay(first, second);
    this.healOneWay(second, first);
  }

  /** Ends all cuts. */
  healAll(): void {
    for (const channel of this.channels.values()) channel.heal();
    this.connectAll();
  }

  /** Drops the next answers to a caller, after the handlers have run. */
  loseAnswers(caller: string, handler: string, count: number): void {
    this.channel(handler, caller).answersToDrop += count;
  }

  /**
   * Makes the current connection drop every message without closing; a new
   * connection works.
   */
  silenceConnection(first: string, second: string): void {
    for (const [one, other] of [
      [first, second],
      [second, first],
    ] as const) {
      const endpoint = this.host(one).endpointTo(other);
      if (endpoint) endpoint.connection.silent = true;
    }
  }

  private host(name: string): MemoryPeerNetwork {
    const network = this.hosts.get(name);
    if (network) return network;
    throw NotFoundError.create(`no host "${name}" has joined`, {name});
  }

  private channel(from: string, to: string): MemoryChannel {
    const key = `${from} ${to}`;
    const existing = this.channels.get(key);
    if (existing) return existing;
    const channel = MemoryChannel.create(this.clock);
    this.channels.set(key, channel);
    return channel;
  }

  private async reconnectLater(): Promise<void> {
    const attemptAt = this.clock.monotonicNow() + RECONNECT_DELAY_MILLISECONDS;
    await this.clock.sleepUntil(attemptAt);
    this.connectAll();
  }

  private connectAll(): void {
    const names = [...this.hosts.keys()].sort();
    for (const [index, dialer] of names.entries()) {
      for (const acceptor of names.slice(index + 1)) {
        void this.connect(dialer, acceptor);
      }
    }
  }

  private async connect(dialer: string, acceptor: string): Promise<void> {
    if (!this.canConnect(dialer, acceptor)) return;
    const key = `${dialer} ${acceptor}`;
    if (this.connecting.has(key)) return;
    const roundTrip =
      this.channel(dialer, acceptor).delayMilliseconds +
      this.channel(acceptor, dialer).delayMilliseconds;
    if (roundTrip > 0) {
      this.connecting.add(key);
      await this.clock.sleepUntil(this.clock.monotonicNow() + roundTrip);
      this.connecting.delete(key);
      if (!this.canConnect(dialer, acceptor)) return;
    }
    this.establish(this.host(dialer), this.host(acceptor));
  }

  private canConnect(dialer: string, acceptor: string): boolean {
    const first = this.hosts.get(dialer);
    const second = this.hosts.get(acceptor);
    if (!first || !second || first.isPaused || second.isPaused) return false;
    if (this.channel(dialer, acceptor).isCut) return false;
    if (this.channel(acceptor, dialer).isCut) return false;
    return first.endpointTo(acceptor) === undefined;
  }

  private establish(
    dialer: MemoryPeerNetwork,
    acceptor: MemoryPeerNetwork,
  ): void {
    const connection = {silent: false};
    const dialed = MemoryEndpoint.create({
      network: dialer,
      peer: acceptor.identity,
      channel: this.channel(dialer.self, acceptor.self),
      connection,
    });
    const accepted = MemoryEndpoint.create({
      network: acceptor,
      peer: dialer.identity,
      channel: this.channel(acceptor.self, dialer.self),
      connection,
    });
    dialed.join(accepted);
    dialer.attach(dialed);
    acceptor.attach(accepted);
  }
}
