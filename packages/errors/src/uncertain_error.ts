import {TypedError} from './typed_error.js';

/** The answer was lost; the operation may or may not have taken effect. */
export class UncertainError extends TypedError {
  readonly code = 'uncertain';

  static create(
    message: string,
    details: Readonly<Record<string, unknown>> = {},
    cause?: unknown,
  ): UncertainError {
    return new UncertainError(message, details, {cause});
  }
}
