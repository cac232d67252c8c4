import type {TypedError} from '@cardamomfield/errors';
import type {FinalAnswer, Submission} from '@cardamomfield/types';
import type {Either} from 'purify-ts';

/** Decides whether a request may enter at all, before anything is recorded. */
export interface SubmissionChecker {
  /**
   * Left: the request is invalid. Right with an answer: it is refused, and so
   * did not run. Right with undefined: it may go on.
   */
  check(submission: Submission): Either<TypedError, FinalAnswer | undefined>;
}
