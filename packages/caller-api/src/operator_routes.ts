import type {ClientLimits} from '@cardamomfield/client-limits';
import type {App, Request, Response} from '@tinyhttp/app';
import {InvalidInputError, type TypedError} from '@cardamomfield/errors';
import {Name} from '@cardamomfield/types';
import {type Either, Left} from 'purify-ts';
import {z} from 'zod';
import {validate} from './validate.js';
import type {OperatorService} from './operator_service.js';
import {readJsonBody} from './read_json_body.js';
import {sendJson} from './send_json.js';
import {sendProblem} from './send_problem.js';

const ResetVoters = z.strictObject({voters: z.array(Name).min(1)});

/** Routes for operators and for the platform's health checks. */
export class OperatorRoutes {
  private constructor(
    private readonly operator: OperatorService,
    private readonly clientLimits: ClientLimits,
  ) {}

  static create(
    operator: OperatorService,
    clientLimits: ClientLimits,
  ): OperatorRoutes {
    return new OperatorRoutes(operator, clientLimits);
  }

  /** Adds the routes to an application. */
  register(app: App): void {
    const {operator} = this;
    app.get('/v1/status', (_request, response) =>
      sendJson(response, 200, operator.status()),
    );
    app.get('/v1/timeline', (_request, response) =>
      sendJson(response, 200, operator.timeline()),
    );
    app.get('/v1/configuration', (_request, response) =>
      sendEither(response, operator.configuration()),
    );
    app.post('/v1/configuration/changes', (request, response) =>
      this.publish(request, response),
    );
    app.get('/v1/voters', (_request, response) =>
      sendJson(response, 200, operator.voters()),
    );
    app.put('/v1/voters', (request, response) =>
      this.resetVoters(request, response),
    );
    app.get('/v1/health/live', (_request, response) =>
      sendJson(response, 200, {live: true}),
    );
    app.get('/v1/health/ready', (_request, response) =>
      sendEither(
        response,
        operator.readiness().map(() => ({ready: true})),
      ),
    );
  }

  private async publish(request: Request, response: Response): Promise<void> {
    const body = await readJsonBody(request, this.clientLimits);
    const published = await body.caseOf({
      Left: error =>
        Promise.resolve(Left(error) as Either<TypedError, unknown>),
      Right: change => this.operator.publish(change),
    });
    sendEither(response, published);
  }

  private async resetVoters(
    request: Request,
    response: Response,
  ): Promise<void> {
    const body = await readJsonBody(request, this.clientLimits);
    const names = body.chain(value => validate(ResetVoters, value));
    const reset = await names.caseOf({
      Left: error =>
        Promise.resolve(
          Left(InvalidInputError.create(error.message)) as Either<
            TypedError,
            unknown
          >,
        ),
      Right: ({voters}) => this.operator.resetVoters(voters),
    });
    sendEither(response, reset);
  }
}

function sendEither(
  response: Response,
  result: Either<TypedError, unknown>,
): void {
  result.caseOf({
    Left: error => sendProblem(response, error),
    Right: value => sendJson(response, 200, value),
  });
}
