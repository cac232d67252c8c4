import {createInterface} from 'node:readline';
import type {Readable} from 'node:stream';
import {type TypedError, UnavailableError} from '@cardamomfield/errors';
import {type Either, Left, Right} from 'purify-ts';

/** Parses a stream of JSON lines; ends after the first failure. */
export async function* parseJsonLines(
  body: Readable,
): AsyncGenerator<Either<TypedError, unknown>> {
  let streamError: Error | undefined;
  body.on('error', error => (streamError = error));
  try {
    for await (const line of createInterface({input: body})) {
      if (line.trim() !== '') yield Right(JSON.parse(line) as unknown);
    }
  } catch (error) {
    streamError ??= error as Error;
  }
  if (!streamError) return;
  const message = `the stream broke off: ${streamError.message}`;
  yield Left(UnavailableError.create(message));
}
