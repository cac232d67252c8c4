import {type TypedError, UnavailableError} from '@cardamomfield/errors';
import {
  AuthorityQuery,
  ClaimAnnounce,
  type PeerMethod,
  VotersAnnounce,
} from '@cardamomfield/peer-protocol';
import {type Either, Left, Right} from 'purify-ts';
import type {OwnershipContext} from './ownership_context.js';

type ParametersOf<Method> =
  Method extends PeerMethod<infer Parameters, infer _> ? Parameters : never;
type ResultOf<Method> =
  Method extends PeerMethod<infer _, infer Result> ? Result : never;

/** Handles the queries and announcements of peers. */
export class PeerRequestHandlers {
  private constructor(private readonly context: OwnershipContext) {}

  /** Registers the handlers on the network. */
  static create(context: OwnershipContext): PeerRequestHandlers {
    const handlers = new PeerRequestHandlers(context);
    context.network.handle(AuthorityQuery, async (_, query) =>
      handlers.ifCaughtUp(() => handlers.answerQuery(query)),
    );
    context.network.handle(ClaimAnnounce, async (_, announcement) =>
      handlers.ifCaughtUp(() => handlers.acknowledgeClaims(announcement)),
    );
    context.network.handle(VotersAnnounce, async (_, announcement) => {
      if (!context.stream.isCaughtUp()) return Left(notCaughtUpError());
      return handlers.acknowledgeVoters(announcement);
    });
    return handlers;
  }

  /**
   * Refuses requests until the tail of the log was read. Claims that an earlier
   * incarnation acknowledged are in the log, so before that an answer could
   * omit a claim that this host has acknowledged.
   */
  private ifCaughtUp<Result>(answer: () => Result): Either<TypedError, Result> {
    return this.context.stream.isCaughtUp()
      ? Right(answer())
      : Left(notCaughtUpError());
  }

  private answerQuery(
    query: ParametersOf<typeof AuthorityQuery>,
  ): ResultOf<typeof AuthorityQuery> {
    const {view} = this.context;
    return {
      claims: view.claimsFrom(query.knownOffset),
      voters: view.votersAfter(query.votersOffset),
    };
  }

  private acknowledgeClaims(
    announcement: ParametersOf<typeof ClaimAnnounce>,
  ): ResultOf<typeof ClaimAnnounce> {
    const {view} = this.context;
    view.merge(announcement.claims, null);
    return {
      claims: view.newerClaims(announcement.claims),
      voters: view.votersAfter(announcement.votersOffset),
    };
  }

  private async acknowledgeVoters(
    announcement: ParametersOf<typeof VotersAnnounce>,
  ): Promise<Either<TypedError, ResultOf<typeof VotersAnnounce>>> {
    const {clock, view, settings, stream} = this.context;
    view.merge([], announcement.voters);
    if (stream.state().voters.offset < announcement.voters.offset) {
      await stream.readFresh(
        clock.monotonicNow() + settings.callTimeoutMilliseconds / 2,
      );
    }
    return Right({readOffset: stream.state().voters.offset});
  }
}

function notCaughtUpError(): TypedError {
  return UnavailableError.create(
    'stream "ownership" has not been read to its tail since the start',
  );
}
