import {TypedError} from './typed_error.js';

/** The named item does not exist. */
export class NotFoundError extends TypedError {
  readonly code = 'not-found';

  static create(
    message: string,
    details: Readonly<Record<string, unknown>> = {},
    cause?: unknown,
  ): NotFoundError {
    return new NotFoundError(message, details, {cause});
  }
}
