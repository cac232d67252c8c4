import {TypedError} from './typed_error.js';

/** Input that does not match its schema or breaks a stated rule. */
export class InvalidInputError extends TypedError {
  readonly code = 'invalid-input';

  static create(
    message: string,
    details: Readonly<Record<string, unknown>> = {},
    cause?: unknown,
  ): InvalidInputError {
    return new InvalidInputError(message, details, {cause});
  }
}
