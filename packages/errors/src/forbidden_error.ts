import {TypedError} from './typed_error.js';

/** The caller may not access the item; the call had no effect. */
export class ForbiddenError extends TypedError {
  readonly code = 'forbidden';

  static create(
    message: string,
    details: Readonly<Record<string, unknown>> = {},
    cause?: unknown,
  ): ForbiddenError {
    return new ForbiddenError(message, details, {cause});
  }
}
