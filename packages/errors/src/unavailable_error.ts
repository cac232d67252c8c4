import {TypedError} from './typed_error.js';

/** A dependency could not be reached; the operation had no effect. */
export class UnavailableError extends TypedError {
  readonly code = 'unavailable';

  static create(
    message: string,
    details: Readonly<Record<string, unknown>> = {},
    cause?: unknown,
  ): UnavailableError {
    return new UnavailableError(message, details, {cause});
  }
}
