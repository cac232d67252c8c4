import type {TypedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';
import type {HeartbeatSection} from './heartbeat_section.js';
import type {PeerMethod} from './peer_method.js';

/** Identity of the caller of a procedure, from its `hello`. */
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
   * Calls a procedure of a peer. `UnavailableError` means that the call was not
   * sent. `UncertainError` means that the handler may have run, for example
   * because the answer was lost. A failure that the handler returned becomes a
   * `RefusedError` with its code in the details.
   */
  call<Parameters, Result>(
    peer: string,
    method: PeerMethod<Parameters, Result>,
    parameters: Parameters,
    deadline: number,
  ): Promise<Either<TypedError, Result>>;

  /** Sets the handler of a procedure, which has exactly one. */
  handle<Parameters, Result>(
    method: PeerMethod<Parameters, Result>,
    handler: (
      peer: PeerIdentity,
      parameters: Parameters,
    ) => Promise<Either<TypedError, Result>>,
  ): void;

  /** Sends the provider's value with every heartbeat. */
  publish<Value>(section: HeartbeatSection<Value>, provider: () => Value): void;

  /**
   * Last value that a peer sent, with the monotonic instant of the last
   * heartbeat that sent or confirmed it.
   */
  latest<Value>(
    peer: string,
    section: HeartbeatSection<Value>,
  ): {value: Value; receivedAt: number} | undefined;

  /** Monotonic instant of the last message from a peer, if any. */
  lastMessageAt(peer: string): number | undefined;

  /** Listens for connects and disconnects of peers; returns an unsubscriber. */
  onPeersChange(listener: () => void): () => void;
}
