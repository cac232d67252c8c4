import type {LogRecord} from '@cardamomfield/platform';

/**
 * Folds the records of a stream into a state. All methods are pure functions
 * of their arguments, so that every process computes the same state.
 */
export interface StreamFold<State> {
  /** State before the first record. */
  initial(): State;

  /** State after one more record; an unreadable record has no effect. */
  apply(state: State, record: LogRecord): State;

  /** The state as JSON, for a snapshot record. */
  toSnapshot(state: State): unknown;

  /** The state from a snapshot; undefined if the snapshot is not valid. */
  fromSnapshot(snapshot: unknown): State | undefined;
}
