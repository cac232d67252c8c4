import type {
  Queue,
  SubmissionSpecification,
  SubmissionState,
} from '@cardamomfield/cell-model';
import type {Clock} from '@cardamomfield/clock';
import {
  CancelledError,
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import type {ShardOwner} from '@cardamomfield/shard-owner';
import {type Either, Left, Right} from 'purify-ts';
import type {z} from 'zod';
import type {Membership} from './membership.js';
import {NotOwnerError} from './not_owner_error.js';
import type {PeerClient} from './peer_client.js';
import {PeerMessages} from './peer_messages.js';
import {PeerMethod} from './peer_method.js';
import {PendingCounts} from './pending_counts.js';

/** A request that was not sent anywhere waits this long for an owner. */
const OWNER_WAIT_MILLISECONDS = 700;

/** A request in doubt is answered as such after this long. */
const DOUBT_MILLISECONDS = 1_300;

/** Pause before the owner is looked up again. */
const RETRY_PAUSE_MILLISECONDS = 60;

/** A call to the owner that takes longer than this is tried again. */
const CALL_TIMEOUT_MILLISECONDS = 1_200;

const DECIDED = 'the call is decided';

interface ShardGatewayOptions {
  membership: Membership;
  peers: PeerClient;
  clock: Clock;
  localOwner: () => ShardOwner | undefined;
}

/**
 * Brings requests to the shard's owner, here or on another host, and tries
 * again with a new owner until the deadline. All requests are idempotent.
 */
export class ShardGateway {
  private readonly pendingCounts: PendingCounts;

  private constructor(private readonly options: ShardGatewayOptions) {
    this.pendingCounts = PendingCounts.create(options.clock);
  }

  static create(options: ShardGatewayOptions): ShardGateway {
    return new ShardGateway(options);
  }

  /**
   * `UnavailableError`: the submission was not accepted and is not on its way.
   * `UncertainError`: it may be accepted now or later.
   */
  submit(
    id: string,
    queue: Queue,
    specification: SubmissionSpecification,
    deadline: number,
  ): Promise<Either<TypedError, unknown>> {
    return this.call(
      owner => owner.submit(id, queue, specification),
      PeerMethod.submit,
      {id, queue, specification},
      PeerMessages.empty,
      deadline,
    );
  }

  async show(
    id: string,
    deadline: number,
  ): Promise<Either<TypedError, {state: SubmissionState}>> {
    return this.call(
      owner => Promise.resolve(owner.show(id).map(state => ({state}))),
      PeerMethod.show,
      {id},
      PeerMessages.showResult,
      deadline,
    );
  }

  cancel(id: string, deadline: number): Promise<Either<TypedError, unknown>> {
    return this.call(
      owner => owner.cancel(id),
      PeerMethod.cancel,
      {id},
      PeerMessages.empty,
      deadline,
    );
  }

  countPending(
    queueName: string,
    deadline: number,
  ): Promise<Either<TypedError, {count: number}>> {
    return this.pendingCounts.get(queueName, () =>
      this.call(
        owner => Promise.resolve(owner.countPending(queueName)).then(toCount),
        PeerMethod.countPending,
        {queueName},
        PeerMessages.countResult,
        deadline,
      ),
    );
  }

  private async call<Result extends z.ZodType>(
    local: (owner: ShardOwner) => Promise<Either<TypedError, unknown>>,
    method: string,
    parameters: unknown,
    result: Result,
    deadline: number,
  ): Promise<Either<TypedError, z.infer<Result>>> {
    const {clock, localOwner} = this.options;
    const startedAt = clock.monotonicNow();
    const giveUpAt = startedAt + OWNER_WAIT_MILLISECONDS;
    const latest = Math.min(deadline, startedAt + DOUBT_MILLISECONDS);
    let isInDoubt = false;
    while (clock.monotonicNow() < latest) {
      const owner = localOwner();
      const outcome: Either<TypedError, unknown> = owner
        ? await withDeadline(clock, local(owner), latest)
        : await this.callRemote(method, parameters, result, latest);
      if (outcome.isRight()) {
        return Right(outcome.extract() as z.infer<Result>);
      }
      const error = outcome.extract() as TypedError;
      if (isFinal(error)) {
        // Once an earlier try is in doubt, only the owner's log can clear it.
        if (!isInDoubt || !(error instanceof UnavailableError)) {
          return Left(error);
        }
      }
      if (error instanceof UncertainError || error instanceof CancelledError) {
        isInDoubt = true;
      }
      if (!isInDoubt && clock.monotonicNow() > giveUpAt) {
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
    const remaining = deadline - clock.monotonicNow();
    const answer = await peers.call(
      owner.address,
      method,
      parameters,
      result,
      Math.min(remaining, CALL_TIMEOUT_MILLISECONDS),
    );
    if (answer.isRight()) membership.noteOwnerAnswer(owner);
    return answer;
  }
}

/** Answers of an owner; a host that was not reached may still change. */
function isFinal(error: TypedError): boolean {
  if (error instanceof NotOwnerError) return false;
  if (error instanceof UncertainError) return false;
  if (error instanceof CancelledError) return false;
  return error.details.isUnreachable !== true;
}

async function withDeadline<Value>(
  clock: Clock,
  work: Promise<Either<TypedError, Value>>,
  deadline: number,
): Promise<Either<TypedError, Value>> {
  const abort = new AbortController();
  const late = clock
    .sleepUntil(deadline, abort.signal)
    .then(() =>
      Left<TypedError, Value>(UncertainError.create('the deadline passed')),
    );
  const result = await Promise.race([work, late]);
  // A reason of its own spares the error that would be made otherwise.
  abort.abort(DECIDED);
  return result;
}

function toCount(count: number): Either<TypedError, {count: number}> {
  return Right({count});
}
