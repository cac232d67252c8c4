import type {TypedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';
import type {HeartbeatSection} from './heartbeat_section.js';
import type {PeerMethod} from './peer_method.js';
import type {PeerNetwork} from './peer_network.js';

type Handler<Parameters, Result> = (
  peer: {name: string; incarnation: string},
  parameters: Parameters,
) => Promise<Either<TypedError, Result>>;

/**
 * Wraps a network and dispatches calls to this process itself locally, so that
 * a coordinator can call an owner in its own process like any other.
 */
export class SelfCallingNetwork implements PeerNetwork {
  private readonly handlers = new Map<string, Handler<unknown, unknown>>();

  private constructor(
    private readonly network: PeerNetwork,
    private readonly incarnation: string,
  ) {}

  static create(network: PeerNetwork, incarnation: string): SelfCallingNetwork {
    return new SelfCallingNetwork(network, incarnation);
  }

  get self(): string {
    return this.network.self;
  }

  livePeers(): readonly string[] {
    return this.network.livePeers();
  }

  call<Parameters, Result>(
    peer: string,
    method: PeerMethod<Parameters, Result>,
    parameters: Parameters,
    deadline: number,
  ): Promise<Either<TypedError, Result>> {
    const handler = this.handlers.get(method.name);
    if (peer !== this.self || !handler) {
      return this.network.call(peer, method, parameters, deadline);
    }
    const caller = {name: this.self, incarnation: this.incarnation};
    return handler(caller, parameters) as Promise<Either<TypedError, Result>>;
  }

  handle<Parameters, Result>(
    method: PeerMethod<Parameters, Result>,
    handler: Handler<Parameters, Result>,
  ): void {
    this.handlers.set(
      method.name,
      handler as Handler<never, unknown> as Handler<unknown, unknown>,
    );
    this.network.handle(method, handler);
  }

  publish<Value>(
    section: HeartbeatSection<Value>,
    provider: () => Value,
  ): void {
    this.network.publish(section, provider);
  }

  latest<Value>(
    peer: string,
    section: HeartbeatSection<Value>,
  ): {value: Value; receivedAt: number} | undefined {
    return this.network.latest(peer, section);
  }

  lastMessageAt(peer: string): number | undefined {
    return this.network.lastMessageAt(peer);
  }

  onPeersChange(listener: () => void): () => void {
    return this.network.onPeersChange(listener);
  }
}
