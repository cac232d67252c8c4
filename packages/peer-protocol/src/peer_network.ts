import type {TypedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';
import type {HeartbeatSection} from './heartbeat_section.js';
import type {PeerMethod} from './peer_method.js';

/** Identity of the caller of a procedure, as its `hello` gave it. */
interface PeerIdentity {
  name: string;
  incarnation: string;
}

/** Calls between entry hosts. */
export interface PeerNetwork {
  /** Name of this process. */
  readonly self: string;

  /** Names of the peers that are connected and not silent. */
  livePeers(): readonly string[];

  /**
   * Calls a procedure of a peer. `UnavailableError` means that nothing was
   * sent; `UncertainError` that the answer was lost. A failure that the
   * handler returned arrives as `RefusedError` with its code in the details.
   */
  call<Parameters, Result>(
    peer: string,
    method: PeerMethod<Parameters, Result>,
    parameters: Parameters,
    deadline: number,
  ): Promise<Either<TypedError, Result>>;

  /** Sets the handler of a procedure; one handler a procedure. */
  handle<Parameters, Result>(
    method: PeerMethod<Parameters, Result>,
    handler: (
      peer: PeerIdentity,
      parameters: Parameters,
    ) => Promise<Either<TypedError, Result>>,
  ): void;

  /** Sends the provider's value with every heartbeat. */
  publish<Value>(section: HeartbeatSection<Value>, provider: () => Value): void;

  /** The last value that a peer sent, with the monotonic instant it came. */
  latest<Value>(
    peer: string,
    section: HeartbeatSection<Value>,
  ): {value: Value; receivedAt: number} | undefined;

  /** Monotonic instant of the last message from a peer, if there was one. */
  lastHeard(peer: string): number | undefined;

  /** Calls the listener when a peer comes or goes; returns an unsubscriber. */
  onPeersChange(listener: () => void): () => void;
}
