import type {SubmissionRecord} from '@cardamomfield/cell-scheduler';
import type {TypedError} from '@cardamomfield/errors';
import {type Either, Left} from 'purify-ts';

/** A submission whose record has been queued for the log. */
export class Admission {
  /**
   * Settles with the commit of the record or with the owner's refusal,
   * whichever comes first.
   */
  readonly outcome: Promise<Either<TypedError, void>>;
  private readonly refusal: Promise<Either<TypedError, void>>;
  refuse: (error: TypedError) => void = () => undefined;

  private constructor(
    readonly submission: SubmissionRecord,
    committed: Promise<Either<TypedError, void>>,
  ) {
    this.refusal = new Promise(resolve => {
      this.refuse = error => resolve(Left(error));
    });
    this.outcome = Promise.race([committed, this.refusal]);
  }

  static create(
    submission: SubmissionRecord,
    committed: Promise<Either<TypedError, void>>,
  ): Admission {
    return new Admission(submission, committed);
  }
}
