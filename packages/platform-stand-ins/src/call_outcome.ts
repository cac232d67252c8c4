/** Outcome of a call to a stand-in, as its caller sees it. */
export type CallOutcome<Answer> =
  | {kind: 'answered'; answer: Answer}
  /** Refused because of an outage; the call had no effect. */
  | {kind: 'unavailable'}
  /** The call took effect, but its answer was lost immediately. */
  | {kind: 'lost'}
  /** The call will never be answered. */
  | {kind: 'silent'};
