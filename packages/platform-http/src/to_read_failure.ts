import {type TypedError, UnavailableError} from '@cardamomfield/errors';

/** Maps the error of a call that changes nothing on the server. */
export function toReadFailure(error: TypedError): UnavailableError {
  if (error instanceof UnavailableError) return error;
  return UnavailableError.create(error.message, error.details, error);
}
