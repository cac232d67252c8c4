import {FRAME_HEADER_BYTES} from './frame_header.js';

/** Encodes a value as a frame: its length in four bytes, then JSON in UTF-8. */
export function encodeFrame(value: unknown): Buffer {
  const text = JSON.stringify(value);
  const length = Buffer.byteLength(text);
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + length);
  frame.writeUInt32BE(length);
  frame.write(text, FRAME_HEADER_BYTES);
  return frame;
}
