import type {FollowedStream} from '@cardamomfield/log-follower';
import type {OwnershipState} from '@cardamomfield/ownership';
import {
  AuthorityAsk,
  ClaimAnnounce,
  type PeerNetwork,
} from '@cardamomfield/peer-protocol';
import {Right} from 'purify-ts';
import type {OwnershipFuzzCase} from './ownership_fuzz_case.js';

type Weakening = NonNullable<Parameters<typeof OwnershipFuzzCase.create>[1]>;

/** The object with some of its methods replaced. */
function replacing<Value extends object>(
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

/** Acknowledges every claim at once without asking the peer. */
function acknowledgingNetwork(network: PeerNetwork): PeerNetwork {
  const call = async (
    ...[peer, method, ...rest]: [never, never, never, never]
  ) =>
    (method as {name: string}).name === ClaimAnnounce.name
      ? Right({claims: [], voters: null})
      : network.call(peer, method, ...rest);
  return replacing(network, {call: call as unknown as PeerNetwork['call']});
}

/** Says that the tail was read before any read. */
function caughtUpStream(
  stream: FollowedStream<OwnershipState>,
): FollowedStream<OwnershipState> {
  return replacing(stream, {isCaughtUp: () => true});
}

/**
 * Gives each question the answer to the one before, so that an answer counts
 * from an instant after it was given.
 */
function lateStampingNetwork(network: PeerNetwork): PeerNetwork {
  const answers = new Map<string, unknown>();
  const call = async (
    ...[peer, method, ...rest]: [never, never, never, never]
  ) => {
    const answer = network.call(peer, method, ...rest);
    if ((method as {name: string}).name !== AuthorityAsk.name) return answer;
    const last = answers.get(peer);
    answers.delete(peer);
    void answer.then(result => {
      if (result.isRight()) answers.set(peer, result);
    });
    return last ?? answer;
  };
  return replacing(network, {call: call as unknown as PeerNetwork['call']});
}

/** Stamps tail reads and answers when they arrive. */
const stampedAtArrival: Weakening = {
  wrapNetwork: lateStampingNetwork,
  wrapStream: (stream, clock) =>
    replacing(stream, {
      readFresh: async deadline =>
        (await stream.readFresh(deadline)).map(read => ({
          ...read,
          sentAt: clock.monotonicNow(),
        })),
    }),
};

/** Deliberately broken versions, made by faulty collaborators. */
export const WEAKENED_OWNERSHIP = {
  noMajority: {wrapNetwork: acknowledgingNetwork},
  noWait: {
    settings: {
      authorityPeriodMilliseconds: 2_000,
      claimMarginMilliseconds: -2_000,
    },
  },
  answersBeforeTail: {wrapStream: caughtUpStream},
  stampedAtArrival,
} satisfies Record<string, Weakening>;
