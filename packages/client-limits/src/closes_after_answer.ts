import type {IncomingMessage} from 'node:http';

/** A rest of a body that is cheaper to read than a new connection. */
const SMALL_REST_BYTES = 65_536;

/** Whether the rest of a body is too large to be read after the answer. */
export function closesAfterAnswer(request: IncomingMessage): boolean {
  if (request.complete) return false;
  if (request.headers['transfer-encoding'] !== undefined) return true;
  return Number(request.headers['content-length'] ?? 0) > SMALL_REST_BYTES;
}
