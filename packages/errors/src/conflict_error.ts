import {TypedError} from './typed_error.js';

/** The operation was refused because another one came first. */
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
