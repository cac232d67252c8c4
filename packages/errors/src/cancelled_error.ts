import {TypedError} from './typed_error.js';

/** The operation was cancelled by its initiator, usually at shutdown. */
export class CancelledError extends TypedError {
  readonly code = 'cancelled';

  static create(
    message: string,
    details: Readonly<Record<string, unknown>> = {},
    cause?: unknown,
  ): CancelledError {
    return new CancelledError(message, details, {cause});
  }
}
