import {InvalidInputError} from '@cardamomfield/errors';
import {FRAME_HEADER_BYTES} from './frame_header.js';

/** Splits a byte stream into frames; throws on one that is too large. */
export async function* readFrames(
  stream: AsyncIterable<Buffer>,
  maximumBytes: number,
): AsyncGenerator<Buffer> {
  let chunks: Buffer[] = [];
  let available = 0;
  let needed = FRAME_HEADER_BYTES;
  for await (const chunk of stream) {
    chunks.push(chunk);
    available += chunk.length;
    // Concatenating only once enough bytes have arrived keeps the cost of a
    // large frame linear.
    while (available >= needed) {
      const bytes = Buffer.concat(chunks);
      const length = bytes.readUInt32BE();
      checkLength(length, maximumBytes);
      const end = FRAME_HEADER_BYTES + length;
      if (available >= end) yield bytes.subarray(FRAME_HEADER_BYTES, end);
      const rest = available >= end ? bytes.subarray(end) : bytes;
      needed = available >= end ? FRAME_HEADER_BYTES : end;
      chunks = [rest];
      available = rest.length;
    }
  }
}

function checkLength(length: number, maximumBytes: number): void {
  if (length <= maximumBytes) return;
  throw InvalidInputError.create(
    `frame of ${length} bytes exceeds the limit of ${maximumBytes}`,
    {reason: 'frame-too-large', length, maximumBytes},
  );
}
