import type {
  PollOrder,
  StartOrder,
  StartOutcome,
  WorkerDescription,
  WorkerLink,
  WorkerReport,
} from '@cardamomfield/cell-model';
import {type TypedError, UncertainError} from '@cardamomfield/errors';
import {type Either, Left, Right} from 'purify-ts';
import type {z} from 'zod';
import type {RelayChannel} from './relay_channel.js';
import {RelayFailure} from './relay_failure.js';
import {RelayMessages} from './relay_messages.js';
import {RelayMethod} from './relay_method.js';

/**
 * Time limit for an order through a relay. The relay's own limit for the worker
 * is 300 ms; the rest covers the call to the relay.
 */
const ORDER_TIMEOUT_MILLISECONDS = 500;

/** Added to the time that a poll may wait at the worker. */
const POLL_SLACK_MILLISECONDS = 500;

interface RelayedWorkerLinkOptions {
  worker: WorkerDescription;
  /** The channel to use now; undefined for a direct call. */
  channel: () => RelayChannel | undefined;
  openDirectly: () => WorkerLink;
  onClosed: () => void;
}

/** Calls to one incarnation of a worker, by relay while one is available. */
export class RelayedWorkerLink implements WorkerLink {
  private direct: WorkerLink | undefined;
  private isClosed = false;

  private constructor(private readonly options: RelayedWorkerLinkOptions) {}

  static create(options: RelayedWorkerLinkOptions): RelayedWorkerLink {
    return new RelayedWorkerLink(options);
  }

  static get orderTimeoutMilliseconds(): number {
    return ORDER_TIMEOUT_MILLISECONDS;
  }

  async start(order: StartOrder): Promise<StartOutcome> {
    const channel = this.options.channel();
    if (!channel) return this.directLink().start(order);
    const {payload, ...rest} = order;
    const answer = await this.call(
      channel,
      RelayMethod.start,
      {order: rest},
      RelayMessages.startResult,
      ORDER_TIMEOUT_MILLISECONDS,
      payload,
    );
    if (answer.isLeft()) {
      const {message} = answer.extract() as TypedError;
      return {kind: 'uncertain', cause: message};
    }
    const outcome = answer.unsafeCoerce();
    // JSON omits undefined fields; the outcome's type requires this one.
    return outcome.kind === 'uncertain'
      ? outcome
      : {...outcome, clock: outcome.clock};
  }

  async stop(
    taskName: string,
    attempt: number,
    fence: number,
  ): Promise<Either<TypedError, void>> {
    const channel = this.options.channel();
    if (!channel) return this.directLink().stop(taskName, attempt, fence);
    return this.order(channel, RelayMethod.stop, {taskName, attempt, fence});
  }

  async pace(
    taskName: string,
    attempt: number,
    percent: number,
    fence: number,
  ): Promise<Either<TypedError, void>> {
    const channel = this.options.channel();
    if (!channel) {
      return this.directLink().pace(taskName, attempt, percent, fence);
    }
    return this.order(channel, RelayMethod.pace, {
      taskName,
      attempt,
      percent,
      fence,
    });
  }

  async poll(order: PollOrder): Promise<Either<TypedError, WorkerReport>> {
    const channel = this.options.channel();
    if (!channel) return this.directLink().poll(order);
    const answer = await this.call(
      channel,
      RelayMethod.poll,
      {order},
      RelayMessages.pollResult,
      order.waitMilliseconds + POLL_SLACK_MILLISECONDS,
    );
    return answer.chain(({failure, report}) => {
      if (report) return Right(report);
      return Left(
        failure
          ? RelayFailure.decode(failure)
          : UncertainError.create('the relay sent no report'),
      );
    });
  }

  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.direct?.close();
    this.options.onClosed();
  }

  private async order(
    channel: RelayChannel,
    method: string,
    parameters: Record<string, unknown>,
  ): Promise<Either<TypedError, void>> {
    const answer = await this.call(
      channel,
      method,
      parameters,
      RelayMessages.orderResult,
      ORDER_TIMEOUT_MILLISECONDS,
    );
    return answer.chain(({failure}) =>
      failure ? Left(RelayFailure.decode(failure)) : Right(undefined),
    );
  }

  private async call<Result extends z.ZodType>(
    channel: RelayChannel,
    method: string,
    parameters: Record<string, unknown>,
    result: Result,
    timeoutMilliseconds: number,
    payload?: string,
  ): Promise<Either<TypedError, z.infer<Result>>> {
    if (this.isClosed) return Left(UncertainError.create('the link is closed'));
    return channel.call(
      this.options.worker,
      method,
      parameters,
      result,
      timeoutMilliseconds,
      payload,
    );
  }

  private directLink(): WorkerLink {
    this.direct ??= this.options.openDirectly();
    return this.direct;
  }
}
