import type {LogRecord} from '@cardamomfield/platform';

/**
 * Turns the records of a stream into a state. All methods are pure functions
 * of their arguments, so that every process reaches the same state.
 */
export interface StreamFold<State> {
  /** State before the first record. */
  initial(): State;

  /** State after one more record; a record it can't read changes nothing. */
  apply(state: State, record: LogRecord): State;

  /** The state as JSON, for a snapshot record. */
  toSnapshot(state: State): unknown;

  /** The state from a snapshot; undefined when it is not a valid one. */
  fromSnapshot(snapshot: unknown): State | undefined;
}
