/** Why a worker refused to start a run; the run was not started. */
type StartRefusal =
  | 'fenced'
  | 'superseded'
  | 'late'
  | 'no-room'
  | 'ticket-expired'
  | 'unhealthy'
  | 'other-life'
  | 'invalid';

/**
 * Known outcome of an order to start a run. `clock` is the worker's clock in
 * milliseconds; undefined if the answer did not tell it.
 */
export type StartOutcome =
  | {kind: 'started'; clock: number | undefined}
  | {kind: 'refused'; reason: StartRefusal; clock: number | undefined}
  /** No answer: the worker may have started the run or may still start it. */
  | {kind: 'uncertain'; cause: string};
