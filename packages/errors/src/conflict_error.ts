import {TypedError} from './typed_error.js';

/** The operation was refused because it conflicts with an earlier one. */
export class ConflictError extends TypedError {
  readonly code = 'conflict';

  static create(
    message: string,
    details: Readonly<Record<string, unknown>> = {},
    cause?: unknown,
  ): ConflictError {
    return new ConflictError(message, details, {cause});
  }
}
