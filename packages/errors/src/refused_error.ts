import {TypedError} from './typed_error.js';

/** The receiver understood the operation and declined it; it had no effect. */
export class RefusedError extends TypedError {
  readonly code = 'refused';

  static create(
    message: string,
    details: Readonly<Record<string, unknown>> = {},
    cause?: unknown,
  ): RefusedError {
    return new RefusedError(message, details, {cause});
  }
}
