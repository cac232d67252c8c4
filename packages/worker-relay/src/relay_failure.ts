import {
  RefusedError,
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';

interface EncodedFailure {
  code: string;
  message: string;
  reason?: string | undefined;
}

/** Failures of worker calls as they are sent over a relay channel. */
export class RelayFailure {
  static encode(error: TypedError): EncodedFailure {
    const {reason} = error.details;
    return {
      code: error.code,
      message: error.message,
      ...(typeof reason === 'string' ? {reason} : {}),
    };
  }

  static decode({code, message, reason}: EncodedFailure): TypedError {
    if (code === 'refused') return RefusedError.create(message, {reason});
    if (code === 'unavailable') return UnavailableError.create(message);
    return UncertainError.create(message);
  }
}
