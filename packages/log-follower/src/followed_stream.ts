import type {
  DeadlineExceededError,
  InvalidInputError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';

/** Proof that the state included all records up to the tail at an instant. */
interface FreshRead {
  /** Monotonic instant at which the tail read was sent. */
  sentAt: number;
  /** First offset that is not yet applied. */
  nextOffset: number;
}

/** A log stream whose records are folded into a state. */
export interface FollowedStream<State> {
  /** The state after all records applied so far. */
  state(): State;

  /** First offset that is not yet applied. */
  nextOffset(): number;

  /** Whether the tail has been reached at least once in this incarnation. */
  isCaughtUp(): boolean;

  /**
   * Reads up to the tail and applies the records. The proof holds for the
   * instant at which the read was sent, not for that of its answer.
   */
  readFresh(
    deadline: number,
  ): Promise<Either<UnavailableError | DeadlineExceededError, FreshRead>>;

  /**
   * Appends a record and returns its offset once the record is applied here.
   * If the answer is lost, the log is read to find the record. The result is
   * an `UncertainError` if the log can't be read before the deadline either, or
   * if the record may be among those that a snapshot, a trimmed start or a
   * seeded state skipped.
   */
  append(
    body: unknown,
    deadline: number,
  ): Promise<
    Either<UnavailableError | UncertainError | InvalidInputError, number>
  >;

  /** Calls the listener after each state change; returns an unsubscriber. */
  onChange(listener: (state: State) => void): () => void;
}
