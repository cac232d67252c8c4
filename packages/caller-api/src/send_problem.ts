import type {ServerResponse} from 'node:http';
import type {TypedError} from '@cardamomfield/errors';

/** HTTP status by error code; other codes are internal errors. */
const STATUS_BY_CODE: Readonly<Record<string, number>> = {
  'invalid-input': 400,
  'not-found': 404,
  conflict: 409,
  'payload-too-large': 413,
  refused: 422,
  uncertain: 502,
  unavailable: 503,
  'deadline-exceeded': 504,
};

const INTERNAL_STATUS = 500;

/** Sends the error as a problem document (`application/problem+json`). */
export function sendProblem(response: ServerResponse, error: TypedError): void {
  const status = STATUS_BY_CODE[error.code] ?? INTERNAL_STATUS;
  const body = JSON.stringify({
    type: `urn:cardamomfield:problem:${error.code}`,
    title: error.name,
    status,
    code: error.code,
    detail: error.message,
    details: error.details,
  });
  // The rest of a refused upload is not read, so the connection can't be
  // reused.
  if (!response.req.complete) response.setHeader('connection', 'close');
  response.writeHead(status, {'content-type': 'application/problem+json'});
  response.end(body);
}
