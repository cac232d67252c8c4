import type {IncomingMessage} from 'node:http';
import {InvalidInputError, type TypedError} from '@cardamomfield/errors';
import {type Either, Left, Right} from 'purify-ts';
import {PayloadTooLargeError} from './payload_too_large_error.js';

/** Maximum size of a request body. */
const MAXIMUM_BODY_BYTES = 1_048_576;

/** Reads and parses a JSON body without buffering more than the limit. */
export async function readJsonBody(
  request: IncomingMessage,
): Promise<Either<TypedError, unknown>> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > MAXIMUM_BODY_BYTES) {
        return Left(PayloadTooLargeError.create(MAXIMUM_BODY_BYTES));
      }
      chunks.push(chunk);
    }
  } catch (thrown) {
    return Left(
      InvalidInputError.create(
        'the body ended before it was complete',
        {},
        thrown,
      ),
    );
  }
  return parse(Buffer.concat(chunks).toString('utf8'));
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
