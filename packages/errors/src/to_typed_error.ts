import {InternalError} from './internal_error.js';
import {TypedError} from './typed_error.js';

/** Returns a typed failure unchanged and wraps anything else. */
export function toTypedError(thrown: unknown): TypedError {
  if (thrown instanceof TypedError) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return InternalError.create(message, {}, thrown);
}
