import type {Clock} from '@cardamomfield/clock';
import {
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import {type Either, Left} from 'purify-ts';
import type {Exchange} from './exchange.js';
import {FaultGate} from './fault_gate.js';

/** Reason of aborts; without one, each abort builds a stack trace. */
const FINISHED = 'the call is finished';

interface CallOptions<Failure extends TypedError, Answer> {
  isWrite: boolean;
  deadline: number;
  effect: () => Promise<Exchange<Either<Failure, Answer>>>;
}

/** The way from one caller to a service of the same process. */
export class MemoryLink {
  /** Faults of this caller's link only. */
  readonly faults: FaultGate;

  private constructor(private readonly clock: Clock) {
    this.faults = FaultGate.create({clock});
  }

  static create(clock: Clock): MemoryLink {
    return new MemoryLink(clock);
  }

  /** One call with a deadline. */
  async call<Failure extends TypedError, Answer>(
    options: CallOptions<Failure, Answer>,
  ): Promise<Either<Failure | UnavailableError | UncertainError, Answer>> {
    if (this.clock.monotonicNow() >= options.deadline) {
      return Left(
        UnavailableError.create('the deadline passed before sending'),
      );
    }
    const result = await this.beforeDeadline(
      this.passThrough(options),
      options.deadline,
    );
    if (result.kind === 'answered') return result.answer;
    if (result.kind === 'unavailable') {
      return Left(UnavailableError.create('injected outage'));
    }
    const failure = options.isWrite ? UncertainError : UnavailableError;
    return Left(failure.create('no answer came'));
  }

  private async passThrough<Failure extends TypedError, Answer>(
    options: CallOptions<Failure, Answer>,
  ): Promise<Exchange<Either<Failure, Answer>>> {
    const outer = await this.faults.exchange(options.isWrite, options.effect);
    return outer.kind === 'answered' ? outer.answer : outer;
  }

  private async beforeDeadline<Answer>(
    exchange: Promise<Exchange<Answer>>,
    deadline: number,
  ): Promise<Exchange<Answer>> {
    const finished = new AbortController();
    const expired = this.clock
      .sleepUntil(deadline, finished.signal)
      .then((): Exchange<Answer> => ({kind: 'lost'}));
    const answered = exchange.then(result =>
      result.kind === 'silent' ? expired : result,
    );
    const result = await Promise.race([answered, expired]);
    finished.abort(FINISHED);
    return result;
  }
}
