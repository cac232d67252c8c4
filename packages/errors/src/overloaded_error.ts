import {TypedError} from './typed_error.js';

/** There is too much work to do this in time; the call had no effect. */
export class OverloadedError extends TypedError {
  readonly code = 'overloaded';

  static create(
    message: string,
    details: Readonly<Record<string, unknown>> = {},
    cause?: unknown,
  ): OverloadedError {
    return new OverloadedError(message, details, {cause});
  }
}
