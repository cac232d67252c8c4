import {type TypedError, UnavailableError} from '@cardamomfield/errors';

/** The failure of a call that changes nothing on the other side. */
export function toReadFailure(error: TypedError): UnavailableError {
  if (error instanceof UnavailableError) return error;
  return UnavailableError.create(error.message, error.details, error);
}
