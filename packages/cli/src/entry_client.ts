import {
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import {type Either, Left, Right} from 'purify-ts';
import type {Dispatcher} from 'undici';
import {z} from 'zod';
import {httpExchange} from './http_exchange.js';
import {parseJsonLines} from './parse_json_lines.js';

interface EntryClientOptions {
  /** Base URLs of the entry hosts. */
  urls: readonly string[];
  timeoutMilliseconds: number;
  signal: AbortSignal;
}

interface Call<Value> {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  path: string;
  schema: z.ZodType<Value>;
  headers?: Readonly<Record<string, string>>;
  body?: unknown;
  /** Whether the call may be retried on another host after a lost answer. */
  isRepeatable: boolean;
  timeoutMilliseconds?: number;
}

interface HostAnswer<Value> {
  url: string;
  answer: Either<TypedError, Value>;
}

/** HTTP client of the entry hosts; each of them can serve every call. */
export class EntryClient {
  private constructor(private readonly options: EntryClientOptions) {}

  static create(options: EntryClientOptions): EntryClient {
    const urls = options.urls.map(url => url.replace(/\/+$/, ''));
    return new EntryClient({...options, urls});
  }

  /** Reads from the first entry host that answers. */
  get<Value>(
    path: string,
    schema: z.ZodType<Value>,
  ): Promise<Either<TypedError, Value>> {
    return this.call({method: 'GET', path, schema, isRepeatable: true});
  }

  /** Reads from every entry host. */
  getFromAllHosts<Value>(
    path: string,
    schema: z.ZodType<Value>,
  ): Promise<Array<HostAnswer<Value>>> {
    const method = 'GET';
    const readCall = {method, path, schema, isRepeatable: true} as const;
    return Promise.all(
      this.options.urls.map(async url => {
        const answer = await this.callHost(url, readCall);
        return {url, answer: answer.mapLeft(asReadFailure)};
      }),
    );
  }

  /**
   * Calls the entry hosts in turn until one answers. When all fail, the
   * failure is uncertain if any of the calls may have had an effect.
   */
  async call<Value>(call: Call<Value>): Promise<Either<TypedError, Value>> {
    let uncertainFailure: TypedError | undefined;
    let lastFailure: TypedError = UnavailableError.create(
      'no entry host is given',
    );
    for (const url of this.options.urls) {
      const answer = await this.callHost(url, call);
      if (answer.isRight()) return answer;
      lastFailure = answer.swap().unsafeCoerce();
      if (lastFailure.code === 'uncertain') uncertainFailure = lastFailure;
      else if (lastFailure.code !== 'unavailable') return answer;
      if (uncertainFailure && !call.isRepeatable) break;
    }
    if (call.method === 'GET') return Left(asReadFailure(lastFailure));
    return Left(uncertainFailure ?? lastFailure);
  }

  /** Yields the lines of a stream of the first entry host that answers. */
  async *streamLines(
    path: string,
  ): AsyncGenerator<Either<TypedError, unknown>> {
    const {signal, urls} = this.options;
    for (const url of urls) {
      const response = await httpExchange({
        url: url + path,
        method: 'GET',
        // No timeout: a stream sends nothing while nothing changes.
        timeoutMilliseconds: 0,
        signal,
      });
      if (response.isRight()) {
        yield* parseJsonLines(response.unsafeCoerce().body);
        return;
      }
      const failure = response.swap().unsafeCoerce();
      if (failure.code !== 'refused') continue;
      yield Left(failure);
      return;
    }
    yield Left(UnavailableError.create('no entry host answered'));
  }

  private async callHost<Value>(
    url: string,
    call: Call<Value>,
  ): Promise<Either<TypedError, Value>> {
    const {signal, timeoutMilliseconds} = this.options;
    const response = await httpExchange({
      url: url + call.path,
      method: call.method,
      timeoutMilliseconds: call.timeoutMilliseconds ?? timeoutMilliseconds,
      signal,
      ...(call.headers && {headers: call.headers}),
      body: call.body,
    });
    if (response.isLeft()) return response;
    return readBody(url, response.unsafeCoerce(), call.schema);
  }
}

async function readBody<Value>(
  url: string,
  response: Dispatcher.ResponseData,
  schema: z.ZodType<Value>,
): Promise<Either<TypedError, Value>> {
  try {
    const parsed = schema.safeParse(await response.body.json());
    if (parsed.success) return Right(parsed.data);
    const cause = z.prettifyError(parsed.error);
    const message = `${url} sent an answer of another form: ${cause}`;
    return Left(UncertainError.create(message));
  } catch (error) {
    const {message} = error as Error;
    const failureMessage = `the answer of ${url} broke off: ${message}`;
    return Left(UncertainError.create(failureMessage));
  }
}

/**
 * A read has no effect, so a lost answer to it is reported as unavailable
 * instead of uncertain.
 */
function asReadFailure(failure: TypedError): TypedError {
  if (failure.code !== 'uncertain') return failure;
  return UnavailableError.create(failure.message, failure.details);
}
