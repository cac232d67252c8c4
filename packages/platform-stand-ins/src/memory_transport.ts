import type {Clock} from '@cardamomfield/clock';
import {
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import {type Either, Left} from 'purify-ts';
import type {CallOutcome} from './call_outcome.js';
import {FaultInjector} from './fault_injector.js';

/** Abort reason; without one, each abort captures a stack trace. */
const ABORT_REASON = 'the call is finished';

interface CallOptions<Failure extends TypedError, Answer> {
  isWrite: boolean;
  deadline: number;
  effect: () => Promise<CallOutcome<Either<Failure, Answer>>>;
}

/** Transport from one caller to a service in the same process. */
export class MemoryTransport {
  /** Faults that affect this caller only. */
  readonly faults: FaultInjector;

  private constructor(private readonly clock: Clock) {
    this.faults = FaultInjector.create({clock});
  }

  static create(clock: Clock): MemoryTransport {
    return new MemoryTransport(clock);
  }

  /** Makes one call that ends at its deadline at the latest. */
  async call<Failure extends TypedError, Answer>(
    options: CallOptions<Failure, Answer>,
  ): Promise<Either<Failure | UnavailableError | UncertainError, Answer>> {
    if (this.clock.monotonicNow() >= options.deadline) {
      return Left(
        UnavailableError.create('the deadline passed before sending'),
      );
    }
    const result = await this.withDeadline(
      this.callWithFaults(options),
      options.deadline,
    );
    if (result.kind === 'answered') return result.answer;
    if (result.kind === 'unavailable') {
      return Left(UnavailableError.create('injected outage'));
    }
    const failure = options.isWrite ? UncertainError : UnavailableError;
    return Left(failure.create('no answer came'));
  }

  private async callWithFaults<Failure extends TypedError, Answer>(
    options: CallOptions<Failure, Answer>,
  ): Promise<CallOutcome<Either<Failure, Answer>>> {
    const outcome = await this.faults.call(options.isWrite, options.effect);
    return outcome.kind === 'answered' ? outcome.answer : outcome;
  }

  private async withDeadline<Answer>(
    call: Promise<CallOutcome<Answer>>,
    deadline: number,
  ): Promise<CallOutcome<Answer>> {
    const finished = new AbortController();
    const expired = this.clock
      .sleepUntil(deadline, finished.signal)
      .then((): CallOutcome<Answer> => ({kind: 'lost'}));
    const answered = call.then(result =>
      result.kind === 'silent' ? expired : result,
    );
    const result = await Promise.race([answered, expired]);
    finished.abort(ABORT_REASON);
    return result;
  }
}
