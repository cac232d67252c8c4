import type {
  DeadlineExceededError,
  InvalidInputError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';

/** Proof that the state held everything up to the tail at an instant. */
interface FreshRead {
  /** Monotonic instant at which the tail read was sent. */
  sentAt: number;
  /** First offset that is not yet applied. */
  nextOffset: number;
}

/** A stream of the log, followed into a state. */
export interface FollowedStream<State> {
  /** The state after all records applied so far. */
  state(): State;

  /** First offset that is not yet applied. */
  nextOffset(): number;

  /** Whether the tail has been reached at least once in this incarnation. */
  isCaughtUp(): boolean;

  /**
   * Reads the tail anew and applies what is there. The proof holds from the
   * instant the read was sent, not from that of its answer.
   */
  readFresh(
    deadline: number,
  ): Promise<Either<UnavailableError | DeadlineExceededError, FreshRead>>;

  /**
   * Appends a record and returns its offset once it is applied here. A lost
   * answer is resolved by reading; `UncertainError` remains when the log can't
   * be read before the deadline either, or when the record may be among those
   * that a snapshot, a trimmed start or a seeded state skipped.
   */
  append(
    body: unknown,
    deadline: number,
  ): Promise<
    Either<UnavailableError | UncertainError | InvalidInputError, number>
  >;

  /** Calls the listener after each change of state; returns an unsubscriber. */
  onChange(listener: (state: State) => void): () => void;
}
