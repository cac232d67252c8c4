import {createInterface} from 'node:readline';
import type {Readable} from 'node:stream';
import {type TypedError, UnavailableError} from '@cardamomfield/errors';
import {type Either, Left, Right} from 'purify-ts';

/** The JSON documents of a stream of lines; ends after the first failure. */
export async function* splitLines(
  body: Readable,
): AsyncGenerator<Either<TypedError, unknown>> {
  let brokenOff: Error | undefined;
  body.on('error', error => (brokenOff = error));
  try {
    for await (const line of createInterface({input: body})) {
      if (line.trim() !== '') yield Right(JSON.parse(line) as unknown);
    }
  } catch (error) {
    brokenOff ??= error as Error;
  }
  if (!brokenOff) return;
  const message = `the stream broke off: ${brokenOff.message}`;
  yield Left(UnavailableError.create(message));
}
