import type {Clock} from '@cardamomfield/clock';
import {NotFoundError} from '@cardamomfield/errors';
import {Timeline} from '@cardamomfield/timeline';
import {MemoryChannel} from './memory_channel.js';
import {MemoryConnectionEnd} from './memory_connection_end.js';
import {MemoryPeerNetwork} from './memory_peer_network.js';

/** Time from the loss of a connection to the next attempt. */
const RECONNECT_MILLISECONDS = 100;

interface MemoryPeerHubOptions {
  /** Times delays; also the clock of hosts that bring none of their own. */
  clock: Clock;
}

interface MemoryHostOptions {
  name: string;
  /** Default: the name and the number of times it has joined. */
  incarnation?: string;
  /** The host's own clock, for hosts whose clocks disagree. */
  clock?: Clock;
  /** Default: a time line of its own. */
  timeline?: Timeline;
}

/**
 * Connects hosts of one process as `PeerMesh` connects processes, with faults
 * on request. Connections behave as TCP connections do: ordered, closed after
 * 2,000 ms without a message, and replaced when both directions work.
 */
export class MemoryPeerHub {
  private readonly hosts = new Map<string, MemoryPeerNetwork>();
  private readonly channels = new Map<string, MemoryChannel>();
  private readonly joined = new Map<string, number>();
  private readonly connecting = new Set<string>();

  private constructor(private readonly clock: Clock) {}

  static create(options: MemoryPeerHubOptions): MemoryPeerHub {
    return new MemoryPeerHub(options.clock);
  }

  /** Starts a host. A living host of the same name is killed first. */
  join(options: MemoryHostOptions): MemoryPeerNetwork {
    const {name} = options;
    if (this.hosts.has(name)) this.kill(name);
    const count = (this.joined.get(name) ?? 0) + 1;
    this.joined.set(name, count);
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

  /** Ends a host; its peers see their connections close. */
  kill(name: string): void {
    const network = this.host(name);
    this.hosts.delete(name);
    network.kill();
  }

  /** Ends every host. */
  close(): void {
    for (const name of [...this.hosts.keys()]) this.kill(name);
  }

  /** Holds back everything that the host would run, until `resume`. */
  pause(name: string): void {
    this.host(name).pause();
  }

  /** Ends a pause: what has arrived meanwhile is run in its order. */
  resume(name: string): void {
    this.host(name).resume();
    this.connectAll();
  }

  /** Sets the one-way delay of messages sent from now on. */
  setDelay(from: string, to: string, milliseconds: number): void {
    this.channel(from, to).delayMilliseconds = milliseconds;
  }

  /** Stops messages in one direction; they wait for `heal`. */
  cutOneWay(from: string, to: string): void {
    this.channel(from, to).cut();
  }

  /** Stops messages in both directions. */
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
    this.channel(handler, caller).answersToLose += count;
  }

  /**
   * Makes the present connection swallow every message without closing; a new
   * connection works.
   */
  silenceConnection(first: string, second: string): void {
    for (const [one, other] of [
      [first, second],
      [second, first],
    ] as const) {
      const end = this.host(one).endTo(other);
      if (end) end.connection.silent = true;
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
    const attempt = this.clock.monotonicNow() + RECONNECT_MILLISECONDS;
    await this.clock.sleepUntil(attempt);
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
    return first.endTo(acceptor) === undefined;
  }

  private establish(
    dialer: MemoryPeerNetwork,
    acceptor: MemoryPeerNetwork,
  ): void {
    const connection = {silent: false};
    const dialed = MemoryConnectionEnd.create({
      network: dialer,
      peer: acceptor.identity,
      channel: this.channel(dialer.self, acceptor.self),
      connection,
    });
    const accepted = MemoryConnectionEnd.create({
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
