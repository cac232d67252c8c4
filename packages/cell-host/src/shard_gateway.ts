import type {
  CallerIdentity,
  Decision,
  Queue,
  SubmissionSpecification,
  SubmissionState,
} from '@cardamomfield/cell-model';
import type {
  PlacementQuestion,
  SubmissionLimits,
} from '@cardamomfield/cell-scheduler';
import {type Clock, Waker, afterPendingInput} from '@cardamomfield/clock';
import {
  CancelledError,
  OverloadedError,
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import type {PlacementAnswer, ShardOwner} from '@cardamomfield/shard-owner';
import {type Either, Left, Right} from 'purify-ts';
import type {z} from 'zod';
import type {Membership} from './membership.js';
import {NotOwnerError} from './not_owner_error.js';
import type {PeerClient} from './peer_client.js';
import {PeerMessages} from './peer_messages.js';
import {PeerMethod} from './peer_method.js';
import {PendingCountCache} from './pending_count_cache.js';

/** How long a request that has not been sent waits for an owner. */
const OWNER_WAIT_MILLISECONDS = 700;

/** Time limit for a request; one in doubt then fails as uncertain. */
const MAXIMUM_CALL_MILLISECONDS = 1_300;

/** Pause before a request is retried with the owner known by then. */
const RETRY_PAUSE_MILLISECONDS = 60;

/** A call with less time than this left is not sent: the answer would be late. */
const MINIMUM_CALL_MILLISECONDS = 200;

interface ShardGatewayOptions {
  membership: Membership;
  peers: PeerClient;
  clock: Clock;
  localOwner: () => ShardOwner | undefined;
  limits: SubmissionLimits;
}

/**
 * Sends requests to the shard's owner, on this host or another, and retries
 * with a new owner until the deadline. All requests are idempotent.
 */
export class ShardGateway {
  private readonly pendingCountCache: PendingCountCache;

  private constructor(private readonly options: ShardGatewayOptions) {
    this.pendingCountCache = PendingCountCache.create(options.clock);
  }

  static create(options: ShardGatewayOptions): ShardGateway {
    return new ShardGateway(options);
  }

  /**
   * `InvalidInputError`: the submission is too large for any owner.
   * `UnavailableError`, `OverloadedError`: the submission was not accepted and
   * is not in flight.
   * `UnauthenticatedError`, `ForbiddenError`: the owner refuses the caller.
   * `UncertainError`: it may have been accepted or may still be.
   */
  submit(
    id: string,
    queue: Queue,
    specification: SubmissionSpecification,
    deadline: number,
    caller?: CallerIdentity,
  ): Promise<Either<TypedError, {decision?: Decision}>> {
    const checked = this.options.limits.check(
      queue,
      specification,
      caller?.team,
    );
    if (checked.isLeft()) {
      return Promise.resolve(checked as Either<TypedError, never>);
    }
    return this.call(
      owner => owner.submit(id, queue, specification, caller),
      PeerMethod.submit,
      {id, queue, specification, caller},
      PeerMessages.decidedResult,
      deadline,
    );
  }

  async show(
    id: string,
    deadline: number,
    caller?: CallerIdentity,
  ): Promise<
    Either<TypedError, {state: SubmissionState; decision?: Decision}>
  > {
    return this.call(
      owner => owner.show(id, caller),
      PeerMethod.show,
      {id, caller},
      PeerMessages.showResult,
      deadline,
      'read',
    );
  }

  cancel(
    id: string,
    deadline: number,
    caller?: CallerIdentity,
  ): Promise<Either<TypedError, {decision?: Decision}>> {
    return this.call(
      owner => owner.cancel(id, caller),
      PeerMethod.cancel,
      {id, caller},
      PeerMessages.decidedResult,
      deadline,
    );
  }

  countPending(
    queueName: string,
    deadline: number,
    caller?: CallerIdentity,
  ): Promise<Either<TypedError, {count: number}>> {
    return this.pendingCountCache.get(queueName, caller, () =>
      this.call(
        owner => owner.countPending(queueName, caller),
        PeerMethod.countPending,
        {queueName, caller},
        PeerMessages.countResult,
        deadline,
        'read',
      ),
    );
  }

  /**
   * Explains where tasks would be placed, from the owner's state; it changes
   * nothing. `InvalidInputError`, `NotFoundError`: there is no such queue, team
   * or submission, or the request is too large. `OverloadedError`: it would be
   * refused.
   */
  explain(
    question: PlacementQuestion,
    deadline: number,
  ): Promise<Either<TypedError, PlacementAnswer>> {
    return this.call(
      async owner => owner.explain(question),
      PeerMethod.explain,
      {question},
      PeerMessages.explainResult,
      deadline,
      'read',
    );
  }

  private async call<Result extends z.ZodType>(
    callLocally: (owner: ShardOwner) => Promise<Either<TypedError, unknown>>,
    method: string,
    parameters: unknown,
    result: Result,
    deadline: number,
    kind: 'read' | 'change' = 'change',
  ): Promise<Either<TypedError, z.infer<Result>>> {
    const {clock, localOwner} = this.options;
    const startedAt = clock.monotonicNow();
    const ownerWaitEnd = startedAt + OWNER_WAIT_MILLISECONDS;
    const callDeadline = Math.min(
      deadline,
      startedAt + MAXIMUM_CALL_MILLISECONDS,
    );
    let isInDoubt = false;
    let isRepeated = false;
    while (
      clock.monotonicNow() <
      callDeadline - (isRepeated ? MINIMUM_CALL_MILLISECONDS : 0)
    ) {
      isRepeated = true;
      const owner = localOwner();
      const outcome: Either<TypedError, unknown> = owner
        ? await withDeadline(clock, callLocally(owner), callDeadline)
        : await this.callRemote(method, parameters, result, callDeadline);
      if (outcome.isRight()) {
        return Right(outcome.extract() as z.infer<Result>);
      }
      const error = outcome.extract() as TypedError;
      if (isInDoubt && error instanceof OverloadedError) {
        return Left(
          UncertainError.create('refused after a call without an answer'),
        );
      }
      if (isFinal(error)) {
        // A refusal of this attempt says nothing about an earlier one in doubt;
        // only the owner's log resolves it.
        const isRefusal =
          error instanceof UnavailableError || error instanceof OverloadedError;
        if (!isInDoubt || !isRefusal) return Left(error);
      }
      // A read without an answer has changed nothing.
      if (
        kind === 'change' &&
        (error instanceof UncertainError || error instanceof CancelledError)
      ) {
        isInDoubt = true;
      }
      if (!isInDoubt && clock.monotonicNow() > ownerWaitEnd) {
        return Left(UnavailableError.create('no owner of the shard answers'));
      }
      await clock.sleepUntil(clock.monotonicNow() + RETRY_PAUSE_MILLISECONDS);
    }
    const message = 'the owner has not answered in time';
    return Left(
      isInDoubt
        ? UncertainError.create(message)
        : UnavailableError.create(message),
    );
  }

  private async callRemote<Result extends z.ZodType>(
    method: string,
    parameters: unknown,
    result: Result,
    deadline: number,
  ): Promise<Either<TypedError, z.infer<Result>>> {
    const {membership, peers, clock} = this.options;
    const {owner} = membership;
    if (!owner || owner.hostName === membership.self.name) {
      return Left(NotOwnerError.create());
    }
    const answer = await peers.call(
      owner.address,
      method,
      parameters,
      result,
      deadline - clock.monotonicNow(),
    );
    if (answer.isRight()) membership.recordOwnerContact(owner);
    return answer;
  }
}

/**
 * True for errors that are an answer of the owner. Others are retried, since
 * the shard may have a new owner by then.
 */
function isFinal(error: TypedError): boolean {
  if (error instanceof NotOwnerError) return false;
  if (error instanceof UncertainError) return false;
  if (error instanceof CancelledError) return false;
  return error.details.isUnreachable !== true;
}

/** An answer that had arrived by the deadline counts, even if it is read later. */
async function withDeadline<Value>(
  clock: Clock,
  work: Promise<Either<TypedError, Value>>,
  deadline: number,
): Promise<Either<TypedError, Value>> {
  const waker = Waker.create();
  const timedOut = clock
    .sleepUntil(deadline, waker)
    .then(() => (waker.aborted ? undefined : afterPendingInput()))
    .then(() =>
      Left<TypedError, Value>(UncertainError.create('the deadline passed')),
    );
  const result = await Promise.race([work, timedOut]);
  waker.wake();
  return result;
}
