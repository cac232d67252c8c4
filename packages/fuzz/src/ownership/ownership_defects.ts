import type {FollowedStream} from '@cardamomfield/log-follower';
import type {OwnershipState} from '@cardamomfield/ownership';
import {
  AuthorityQuery,
  ClaimAnnounce,
  type PeerNetwork,
} from '@cardamomfield/peer-protocol';
import {Right} from 'purify-ts';
import type {OwnershipFuzzCase} from './ownership_fuzz_case.js';

type SimulationOverrides = NonNullable<
  Parameters<typeof OwnershipFuzzCase.create>[1]
>;

/** Returns a proxy of the object with some of its methods replaced. */
function withReplacedMethods<Value extends object>(
  value: Value,
  replacement: Partial<Value>,
): Value {
  return new Proxy(value, {
    get: (target, name) => {
      const found: unknown = Reflect.get(
        name in replacement ? replacement : target,
        name,
      );
      return typeof found === 'function' ? found.bind(target) : found;
    },
  });
}

/** Acknowledges every claim immediately, without a call to the peer. */
function autoAcknowledgingNetwork(network: PeerNetwork): PeerNetwork {
  const call = async (
    ...[peer, method, ...rest]: [never, never, never, never]
  ) =>
    (method as {name: string}).name === ClaimAnnounce.name
      ? Right({claims: [], voters: null})
      : network.call(peer, method, ...rest);
  return withReplacedMethods(network, {
    call: call as unknown as PeerNetwork['call'],
  });
}

/** Reports that the log tail has been read before any read. */
function alwaysCaughtUpStream(
  stream: FollowedStream<OwnershipState>,
): FollowedStream<OwnershipState> {
  return withReplacedMethods(stream, {isCaughtUp: () => true});
}

/**
 * Resolves each authority call with the answer to the previous call, so that
 * an answer counts from an instant after it was given.
 */
function lateStampingNetwork(network: PeerNetwork): PeerNetwork {
  const answers = new Map<string, unknown>();
  const call = async (
    ...[peer, method, ...rest]: [never, never, never, never]
  ) => {
    const answer = network.call(peer, method, ...rest);
    if ((method as {name: string}).name !== AuthorityQuery.name) return answer;
    const previous = answers.get(peer);
    answers.delete(peer);
    void answer.then(result => {
      if (result.isRight()) answers.set(peer, result);
    });
    return previous ?? answer;
  };
  return withReplacedMethods(network, {
    call: call as unknown as PeerNetwork['call'],
  });
}

/** Time-stamps tail reads and answers when they arrive. */
const stampedAtArrival: SimulationOverrides = {
  wrapNetwork: lateStampingNetwork,
  wrapStream: (stream, clock) =>
    withReplacedMethods(stream, {
      readFresh: async deadline =>
        (await stream.readFresh(deadline)).map(read => ({
          ...read,
          sentAt: clock.monotonicNow(),
        })),
    }),
};

/** Deliberate defects that the oracle must detect. */
export const OWNERSHIP_DEFECTS = {
  noMajority: {wrapNetwork: autoAcknowledgingNetwork},
  noTakeoverWait: {
    settings: {
      authorityPeriodMilliseconds: 2_000,
      claimMarginMilliseconds: -2_000,
    },
  },
  answersBeforeCatchUp: {wrapStream: alwaysCaughtUpStream},
  stampedAtArrival,
} satisfies Record<string, SimulationOverrides>;
