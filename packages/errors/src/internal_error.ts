import {TypedError} from './typed_error.js';

/** An invariant of this program was violated; always a fault to report. */
export class InternalError extends TypedError {
  readonly code = 'internal';

  static create(
    message: string,
    details: Readonly<Record<string, unknown>> = {},
    cause?: unknown,
  ): InternalError {
    return new InternalError(message, details, {cause});
  }
}
