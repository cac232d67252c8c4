import type {IncomingMessage} from 'node:http';
import {
  type BodyError,
  type ClientLimits,
  readBody,
} from '@cardamomfield/client-limits';
import {
  InvalidInputError,
  UnavailableError,
  type TypedError,
} from '@cardamomfield/errors';
import {type Either, Left, Right} from 'purify-ts';
import {PayloadTooLargeError} from './payload_too_large_error.js';

/** Maximum size of a request body. */
const MAXIMUM_BODY_BYTES = 1_048_576;

/** Reads and parses a JSON body within the limits for clients. */
export async function readJsonBody(
  request: IncomingMessage,
  limits: ClientLimits,
): Promise<Either<TypedError, unknown>> {
  const body = await readBody(request, {
    limits,
    server: 'callers',
    maximumBytes: MAXIMUM_BODY_BYTES,
    budgetShare: 1,
  });
  return body
    .mapLeft(toTypedError)
    .chain(bytes => parse(bytes.toString('utf8')));
}

function toTypedError(error: BodyError): TypedError {
  switch (error.reason) {
    case 'too-large':
      return PayloadTooLargeError.create(MAXIMUM_BODY_BYTES);
    case 'no-memory':
      return UnavailableError.create('too many bodies are being read');
    default:
      return InvalidInputError.create('the body ended before it was complete');
  }
}

function parse(text: string): Either<TypedError, unknown> {
  try {
    return Right(JSON.parse(text) as unknown);
  } catch (thrown) {
    const cause = thrown instanceof Error ? thrown.message : String(thrown);
    return Left(
      InvalidInputError.create(`the body is not valid JSON: ${cause}`),
    );
  }
}
