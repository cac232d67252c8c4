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

/** What is known after an order to start a run. */
export type StartOutcome =
  | {kind: 'started'; clock: number}
  | {kind: 'refused'; reason: StartRefusal; clock: number | undefined}
  /** No answer: the order may have been carried out or may be later. */
  | {kind: 'uncertain'; cause: string};
