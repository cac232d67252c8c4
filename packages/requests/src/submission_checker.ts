import type {TypedError} from '@cardamomfield/errors';
import type {FinalAnswer, Submission} from '@cardamomfield/types';
import type {Either} from 'purify-ts';

/** Decides whether a request is accepted, before anything is recorded. */
export interface SubmissionChecker {
  /**
   * Left: the request can't be accepted, for example because it is invalid.
   * Right with an answer: the request is refused and did not run. Right with
   * undefined: it may proceed.
   */
  check(submission: Submission): Either<TypedError, FinalAnswer | undefined>;
}
