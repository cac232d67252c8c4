/** A fault or command of a simulated run; each fault ends by itself. */
export type OwnershipFault = {
  /** Global instant at which it begins. */
  readonly at: number;
} & (
  | {kind: 'cut'; from: string; to: string; until: number}
  | {kind: 'pause'; host: string; until: number}
  | {kind: 'restart'; host: string; until: number}
  | {kind: 'log-outage'; hosts: readonly string[]; until: number}
  | {kind: 'log-delay'; milliseconds: number; until: number}
  | {kind: 'lost-answers'; share: number; until: number}
  | {kind: 'late-messages'; share: number; until: number}
  | {kind: 'release'; host: string; group: string}
  | {kind: 'leave'; host: string}
);
