/** Health phase of a worker. All instants are monotonic. */
export type WorkerPhase =
  | {kind: 'healthy'}
  | {kind: 'ejected'; until: number; service: string}
  | {kind: 'probing'; successes: number; probeDeadline: number | undefined}
  | {kind: 'slow-start'; from: number; until: number};
