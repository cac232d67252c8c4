import {
  InvalidInputError,
  NotFoundError,
  RefusedError,
  type TypedError,
  type UnavailableError,
  type UncertainError,
} from '@cardamomfield/errors';
import {
  type LeaseRenewal,
  type TaskStart,
  type WorkerClient,
  WorkerSnapshot,
} from '@cardamomfield/platform';
import type {TaskIdentity} from '@cardamomfield/types';
import type {Either} from 'purify-ts';
import type {z} from 'zod';
import type {HttpJsonClient} from './http_json_client.js';
import {platformWire} from './platform_wire.js';
import {toReadFailure} from './to_read_failure.js';
import {toWriteFailure} from './to_write_failure.js';

type WatchOptions = Parameters<WorkerClient['watch']>[0];

/** HTTP client of one worker. */
export class HttpWorkerClient implements WorkerClient {
  private constructor(private readonly client: HttpJsonClient) {}

  /** Several worker clients of one worker may share the HTTP client. */
  static create(client: HttpJsonClient): HttpWorkerClient {
    return new HttpWorkerClient(client);
  }

  async start(
    start: TaskStart,
    deadline: number,
  ): Promise<Either<RefusedError | UnavailableError | UncertainError, void>> {
    const result = await this.post(
      '/tasks',
      start,
      platformWire.emptyAnswer,
      deadline,
    );
    return result.map(() => undefined).mapLeft(toStartFailure);
  }

  async stop(
    task: TaskIdentity,
    deadline: number,
  ): Promise<Either<UnavailableError | UncertainError, void>> {
    const result = await this.post(
      '/tasks/stop',
      {task},
      platformWire.emptyAnswer,
      deadline,
    );
    return result.map(() => undefined).mapLeft(toWriteFailure);
  }

  async checkpoint(
    task: TaskIdentity,
    deadline: number,
  ): Promise<
    Either<NotFoundError | UnavailableError | UncertainError, unknown>
  > {
    const result = await this.post(
      '/tasks/checkpoint',
      {task},
      platformWire.checkpointAnswer,
      deadline,
    );
    return result.map(answer => answer.checkpoint).mapLeft(toTaskFailure);
  }

  async throttle(
    task: TaskIdentity,
    processorMillicores: number,
    deadline: number,
  ): Promise<Either<NotFoundError | UnavailableError | UncertainError, void>> {
    const result = await this.post(
      '/tasks/throttle',
      {task, processorMillicores},
      platformWire.emptyAnswer,
      deadline,
    );
    return result.map(() => undefined).mapLeft(toTaskFailure);
  }

  async renewLeases(
    renewals: readonly LeaseRenewal[],
    deadline: number,
  ): Promise<Either<UnavailableError | UncertainError, TaskIdentity[]>> {
    const result = await this.post(
      '/leases',
      {renewals},
      platformWire.renewAnswer,
      deadline,
    );
    return result.map(answer => answer.ended).mapLeft(toWriteFailure);
  }

  async watch(
    options: WatchOptions,
  ): Promise<Either<UnavailableError, WorkerSnapshot>> {
    const result = await this.client.call({
      method: 'GET',
      path: `/tasks?${this.watchQuery(options)}`,
      schema: WorkerSnapshot,
      deadline: options.deadline,
    });
    return result.mapLeft(toReadFailure);
  }

  private post<Answer>(
    path: string,
    body: unknown,
    schema: z.ZodType<Answer>,
    deadline: number,
  ): Promise<Either<TypedError, Answer>> {
    return this.client.call({
      method: 'POST',
      path,
      body,
      schema,
      deadline,
    });
  }

  private watchQuery(options: WatchOptions): URLSearchParams {
    const query = new URLSearchParams();
    if (options.after) {
      query.set('incarnation', options.after.incarnation);
      query.set('sequence', String(options.after.sequence));
    }
    if (options.waitUntil !== undefined) {
      const wall = this.client.wallWaitUntil(
        options.waitUntil,
        options.deadline,
      );
      query.set('waitUntil', String(wall));
    }
    return query;
  }
}

function toStartFailure(
  error: TypedError,
): RefusedError | UnavailableError | UncertainError {
  if (error instanceof RefusedError) return error;
  if (error instanceof InvalidInputError) {
    return RefusedError.create(error.message, error.details, error);
  }
  return toWriteFailure(error);
}

function toTaskFailure(
  error: TypedError,
): NotFoundError | UnavailableError | UncertainError {
  return error instanceof NotFoundError ? error : toWriteFailure(error);
}
