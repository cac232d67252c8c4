/** How a call to a stand-in ended, as its caller sees it. */
export type Exchange<Answer> =
  | {kind: 'answered'; answer: Answer}
  /** Refused by an outage; it had no effect. */
  | {kind: 'unavailable'}
  /** It took effect and the answer was lost at once. */
  | {kind: 'lost'}
  /** Nothing will ever come back. */
  | {kind: 'silent'};
