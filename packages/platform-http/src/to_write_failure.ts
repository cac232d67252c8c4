import {
  InvalidInputError,
  RefusedError,
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';

/**
 * The failure of a call that may have changed something. A typed refusal
 * proves that it did not; an unexpected answer proves nothing.
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
