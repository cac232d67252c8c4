import {TypedError} from './typed_error.js';

/** The deadline passed before the operation finished. */
export class DeadlineExceededError extends TypedError {
  readonly code = 'deadline-exceeded';

  static create(
    message: string,
    details: Readonly<Record<string, unknown>> = {},
    cause?: unknown,
  ): DeadlineExceededError {
    return new DeadlineExceededError(message, details, {cause});
  }
}
