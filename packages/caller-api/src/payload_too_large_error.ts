import {TypedError} from '@cardamomfield/errors';

/** A request body exceeds the size limit; none of it was kept. */
export class PayloadTooLargeError extends TypedError {
  readonly code = 'payload-too-large';

  static create(maximumBytes: number): PayloadTooLargeError {
    return new PayloadTooLargeError(
      `the body is larger than ${maximumBytes} bytes`,
      {maximumBytes},
    );
  }
}
