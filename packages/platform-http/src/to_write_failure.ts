import {
  InvalidInputError,
  RefusedError,
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';

/**
 * Maps the error of a call that changes something on the server. A refusal or
 * an invalid input guarantees that nothing changed; after any other unexpected
 * response the call may have taken effect.
 */
export function toWriteFailure(
  error: TypedError,
): UnavailableError | UncertainError {
  if (error instanceof UnavailableError) return error;
  if (error instanceof UncertainError) return error;
  if (error instanceof RefusedError || error instanceof InvalidInputError) {
    return UnavailableError.create(error.message, error.details, error);
  }
  return UncertainError.create(error.message, error.details, error);
}
