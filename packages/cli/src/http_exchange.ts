import {
  RefusedError,
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import {type Either, Left, Right} from 'purify-ts';
import {type Dispatcher, request} from 'undici';
import {ProblemDocument} from './problem_document.js';

/** Error codes of connections which prove that nothing was sent. */
const NOT_SENT_ERROR_CODES: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
];

const FIRST_ERROR_STATUS = 400;
const FIRST_SERVER_ERROR_STATUS = 500;

interface HttpExchangeOptions {
  url: string;
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  headers?: Readonly<Record<string, string>>;
  body?: unknown;
  /** Longest wait for the answer and between its parts; 0 for no limit. */
  timeoutMilliseconds: number;
  signal: AbortSignal;
}

type Response = Dispatcher.ResponseData;

/**
 * Sends one HTTP request. `UnavailableError` means that it had no effect,
 * `RefusedError` carries the reason that the entry host gave, and
 * `UncertainError` means that the request may have had an effect.
 */
export async function httpExchange(
  options: HttpExchangeOptions,
): Promise<Either<TypedError, Response>> {
  const {url, timeoutMilliseconds, body} = options;
  try {
    const response = await request(url, {
      method: options.method,
      headers: {'content-type': 'application/json', ...options.headers},
      body: body === undefined ? null : JSON.stringify(body),
      headersTimeout: timeoutMilliseconds,
      bodyTimeout: timeoutMilliseconds,
      signal: options.signal,
    });
    if (response.statusCode < FIRST_ERROR_STATUS) return Right(response);
    return Left(await toFailure(url, response));
  } catch (error) {
    return Left(connectionFailure(url, error));
  }
}

async function toFailure(url: string, response: Response): Promise<TypedError> {
  const status = response.statusCode;
  const problem = ProblemDocument.safeParse(
    parseJson(await response.body.text()),
  ).data;
  const message = problem?.detail ?? `${url} answered with status ${status}`;
  const details = {status, code: problem?.code, ...problem?.details};
  if (problem?.code === 'unavailable') {
    return UnavailableError.create(message, details);
  }
  return status >= FIRST_SERVER_ERROR_STATUS
    ? UncertainError.create(message, details)
    : RefusedError.create(message, details);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function connectionFailure(url: string, error: unknown): TypedError {
  const {code, message} = error as {code?: string; message: string};
  return NOT_SENT_ERROR_CODES.includes(code ?? '')
    ? UnavailableError.create(`${url} can't be reached: ${code}`)
    : UncertainError.create(`${url} did not answer: ${message}`);
}
