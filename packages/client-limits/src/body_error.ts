import {TypedError} from '@cardamomfield/errors';

/** Why a body was not read to its end. */
type Reason = 'too-large' | 'too-slow' | 'no-memory' | 'incomplete';

const STATUS: Record<Reason, number> = {
  'too-large': 413,
  'too-slow': 408,
  'no-memory': 503,
  incomplete: 400,
};

/** The body of a request was refused; the request had no effect. */
export class BodyError extends TypedError {
  readonly code = 'body-refused';

  private constructor(readonly reason: Reason) {
    super(`the body was refused: ${reason}`, {reason});
  }

  static create(reason: Reason): BodyError {
    return new BodyError(reason);
  }

  /** HTTP status of the answer. */
  get status(): number {
    return STATUS[this.reason];
  }
}
