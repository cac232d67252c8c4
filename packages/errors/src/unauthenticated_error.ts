import {TypedError} from './typed_error.js';

/** The call carries no key that the operators know; it had no effect. */
export class UnauthenticatedError extends TypedError {
  readonly code = 'unauthenticated';

  static create(
    message: string,
    details: Readonly<Record<string, unknown>> = {},
    cause?: unknown,
  ): UnauthenticatedError {
    return new UnauthenticatedError(message, details, {cause});
  }
}
