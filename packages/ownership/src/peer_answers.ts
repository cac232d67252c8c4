import {type TypedError, UnavailableError} from '@cardamomfield/errors';
import {
  AuthorityAsk,
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

/** Answers the questions and announcements of peers. */
export class PeerAnswers {
  private constructor(private readonly context: OwnershipContext) {}

  /** Sets the handlers on the network. */
  static create(context: OwnershipContext): PeerAnswers {
    const answers = new PeerAnswers(context);
    context.network.handle(AuthorityAsk, async (_, question) =>
      answers.ifCaughtUp(() => answers.answerAsk(question)),
    );
    context.network.handle(ClaimAnnounce, async (_, announcement) =>
      answers.ifCaughtUp(() => answers.acknowledgeClaims(announcement)),
    );
    context.network.handle(VotersAnnounce, async (_, announcement) => {
      if (!context.stream.isCaughtUp()) return Left(notCaughtUp());
      return answers.acknowledgeVoters(announcement);
    });
    return answers;
  }

  /**
   * What an earlier incarnation has acknowledged is in the log, so a process
   * that has not read the tail may deny a claim it once acknowledged.
   */
  private ifCaughtUp<Result>(answer: () => Result): Either<TypedError, Result> {
    return this.context.stream.isCaughtUp()
      ? Right(answer())
      : Left(notCaughtUp());
  }

  private answerAsk(
    question: ParametersOf<typeof AuthorityAsk>,
  ): ResultOf<typeof AuthorityAsk> {
    const {knowledge} = this.context;
    return {
      claims: knowledge.claimsFrom(question.knownOffset),
      voters: knowledge.votersAfter(question.votersOffset),
    };
  }

  private acknowledgeClaims(
    announcement: ParametersOf<typeof ClaimAnnounce>,
  ): ResultOf<typeof ClaimAnnounce> {
    const {knowledge} = this.context;
    knowledge.learn(announcement.claims, null);
    return {
      claims: knowledge.newerClaims(announcement.claims),
      voters: knowledge.votersAfter(announcement.votersOffset),
    };
  }

  private async acknowledgeVoters(
    announcement: ParametersOf<typeof VotersAnnounce>,
  ): Promise<Either<TypedError, ResultOf<typeof VotersAnnounce>>> {
    const {clock, knowledge, settings, stream} = this.context;
    knowledge.learn([], announcement.voters);
    if (stream.state().voters.offset < announcement.voters.offset) {
      await stream.readFresh(
        clock.monotonicNow() + settings.callTimeoutMilliseconds / 2,
      );
    }
    return Right({readOffset: stream.state().voters.offset});
  }
}

function notCaughtUp(): TypedError {
  return UnavailableError.create(
    'stream "ownership" has not been read to its tail since the start',
  );
}
