import type {ClientLimits} from '@cardamomfield/client-limits';
import {setTimeout as delay} from 'node:timers/promises';
import type {App, Request, Response} from '@tinyhttp/app';
import type {Clock} from '@cardamomfield/clock';
import {InvalidInputError, type TypedError} from '@cardamomfield/errors';
import type {RequestView} from '@cardamomfield/peer-protocol';
import {RequestKey, type Submission} from '@cardamomfield/types';
import {type Either, Left, Right} from 'purify-ts';
import {z} from 'zod';
import {CallerRequest} from './caller_request.js';
import {validate} from './validate.js';
import {readJsonBody} from './read_json_body.js';
import type {RequestService} from './request_service.js';
import {sendJson} from './send_json.js';
import {sendProblem} from './send_problem.js';

/** Default deadline of a request, counted from its arrival. */
const DEFAULT_DEADLINE_MILLISECONDS = 30_000;

/** Maximum wait of one call for an update; then it returns the state. */
const MAXIMUM_WAIT_MILLISECONDS = 60_000;

/** Delay of an event stream after a lookup that failed or found no change. */
const EVENTS_RETRY_MILLISECONDS = 500;

const KEY_HEADER = 'idempotency-key';
const DEADLINE_HEADER = 'request-deadline';

const HeaderDeadline = z.union([
  z.string().regex(/^\d+$/).transform(Number).pipe(z.int().positive()),
  z.iso.datetime({offset: true}).transform(text => Date.parse(text)),
]);

const WaitQuery = z.object({
  wait: z.enum(['true', 'false']).optional(),
  afterRevision: z.coerce.number().int().nonnegative().optional(),
  waitMilliseconds: z.coerce
    .number()
    .int()
    .nonnegative()
    .max(MAXIMUM_WAIT_MILLISECONDS)
    .optional(),
});

interface RequestRoutesOptions {
  clientLimits: ClientLimits;
  requests: RequestService;
  clock: Clock;
  /** Region of this entry host, for requests that name none. */
  region: string;
}

/** Routes under `/v1/requests`. */
export class RequestRoutes {
  private constructor(private readonly options: RequestRoutesOptions) {}

  static create(options: RequestRoutesOptions): RequestRoutes {
    return new RequestRoutes(options);
  }

  /** Adds the routes to an application. */
  register(app: App): void {
    app.post('/v1/requests', (request, response) =>
      this.submit(request, response),
    );
    app.get('/v1/requests/:key', (request, response) =>
      this.show(request, response),
    );
    app.delete('/v1/requests/:key', (request, response) =>
      this.cancel(request, response),
    );
    app.get('/v1/requests/:key/events', (request, response) =>
      this.events(request, response),
    );
  }

  private async submit(request: Request, response: Response): Promise<void> {
    const query = validate(WaitQuery, request.query);
    if (query.isLeft()) return sendLeft(response, query);
    const body = await readJsonBody(request, this.options.clientLimits);
    const parsed = body
      .chain(value => validate(CallerRequest, value))
      .chain(value => this.complete(request, value));
    if (parsed.isLeft()) return sendLeft(response, parsed);
    const {submission, isKeyFromCaller} =
      parsed.extract() as CompletedSubmission;
    const {requests} = this.options;
    const accepted = await requests.submit(submission, isKeyFromCaller);
    if (accepted.isLeft()) return sendLeft(response, accepted);
    const {wait} = query.extract() as z.infer<typeof WaitQuery>;
    const isAsynchronous = wait === 'false' || submission.kind === 'service';
    const view = accepted.extract() as RequestView;
    if (isAsynchronous && wait !== 'true') return sendView(response, view);
    await this.sendWhenFinished(response, view);
  }

  /** Fills in and validates the key, deadline and region. */
  private complete(
    request: Request,
    body: CallerRequest,
  ): Either<TypedError, CompletedSubmission> {
    const {requests, clock, region} = this.options;
    const headerKey = request.headers[KEY_HEADER];
    const callerKey = headerKey ?? body.key;
    if (body.key !== undefined && callerKey !== body.key) {
      return Left(
        InvalidInputError.create(
          `${KEY_HEADER} and the key in the body differ`,
        ),
      );
    }
    const key = validate(RequestKey, callerKey ?? requests.generateKey());
    const deadline = this.readDeadline(request, body);
    return key.chain(validKey =>
      deadline.chain(instant => {
        if (instant <= clock.wallNow()) {
          return Left(
            InvalidInputError.create('deadline: it has already passed', {
              deadline: instant,
            }),
          );
        }
        const submission: Submission = {
          ...body,
          key: validKey,
          deadline: instant,
          region: body.region ?? region,
        };
        return Right({submission, isKeyFromCaller: callerKey !== undefined});
      }),
    );
  }

  private readDeadline(
    request: Request,
    body: CallerRequest,
  ): Either<TypedError, number> {
    const header = request.headers[DEADLINE_HEADER];
    if (header !== undefined) return validate(HeaderDeadline, header);
    const fallback =
      this.options.clock.wallNow() + DEFAULT_DEADLINE_MILLISECONDS;
    return Right(body.deadline ?? fallback);
  }

  private async sendWhenFinished(
    response: Response,
    first: RequestView,
  ): Promise<void> {
    const {requests, clock} = this.options;
    let view = first;
    while (!view.answer && !response.destroyed) {
      const shown = await requests.show(view.key, {
        afterRevision: view.revision,
        waitUntil: clock.wallNow() + MAXIMUM_WAIT_MILLISECONDS,
      });
      if (shown.isLeft()) return sendLeft(response, shown);
      view = shown.extract() as RequestView;
    }
    sendView(response, view);
  }

  private async show(request: Request, response: Response): Promise<void> {
    const key = validate(RequestKey, request.params.key);
    const query = validate(WaitQuery, request.query);
    if (key.isLeft()) return sendLeft(response, key);
    if (query.isLeft()) return sendLeft(response, query);
    const {afterRevision, waitMilliseconds} = query.extract() as z.infer<
      typeof WaitQuery
    >;
    const shown = await this.options.requests.show(key.extract() as string, {
      ...(afterRevision === undefined ? {} : {afterRevision}),
      waitUntil: this.options.clock.wallNow() + (waitMilliseconds ?? 0),
    });
    if (shown.isLeft()) return sendLeft(response, shown);
    sendView(response, shown.extract() as RequestView);
  }

  private async cancel(request: Request, response: Response): Promise<void> {
    const key = validate(RequestKey, request.params.key);
    if (key.isLeft()) return sendLeft(response, key);
    const {requests} = this.options;
    const cancelled = await requests.cancel(key.extract() as string);
    if (cancelled.isLeft()) return sendLeft(response, cancelled);
    sendView(response, cancelled.extract() as RequestView);
  }

  /** Streams the state after every change, one JSON document per line. */
  private async events(request: Request, response: Response): Promise<void> {
    const checked = validate(RequestKey, request.params.key);
    if (checked.isLeft()) return sendLeft(response, checked);
    const key = checked.extract() as string;
    const {requests, clock} = this.options;
    const first = await requests.show(key);
    if (first.isLeft()) return sendLeft(response, first);
    let view = first.extract() as RequestView;
    response.writeHead(200, {'content-type': 'application/x-ndjson'});
    response.write(`${JSON.stringify(view)}\n`);
    while (!view.answer && !response.destroyed) {
      const shown = await requests.show(key, {
        afterRevision: view.revision,
        waitUntil: clock.wallNow() + MAXIMUM_WAIT_MILLISECONDS,
      });
      const next = shown.toMaybe().extract();
      if (!next) {
        await delay(EVENTS_RETRY_MILLISECONDS);
        continue;
      }
      const isChanged = JSON.stringify(next) !== JSON.stringify(view);
      view = next;
      if (isChanged) response.write(`${JSON.stringify(view)}\n`);
      else await delay(EVENTS_RETRY_MILLISECONDS);
    }
    response.end();
  }
}

interface CompletedSubmission {
  submission: Submission;
  isKeyFromCaller: boolean;
}

function sendLeft(
  response: Response,
  failure: Either<TypedError, unknown>,
): void {
  sendProblem(response, failure.swap().unsafeCoerce() as TypedError);
}

function sendView(response: Response, view: RequestView): void {
  const location = `/v1/requests/${encodeURIComponent(view.key)}`;
  const headers: Record<string, string> = {location, [KEY_HEADER]: view.key};
  const answer = view.answer;
  if (answer?.outcome === 'not-run' && answer.retryAfter !== undefined) {
    headers['retry-after'] = new Date(answer.retryAfter).toUTCString();
  }
  sendJson(response, answer ? 200 : 202, view, headers);
}
