/** The most recent poll that a worker answered. */
export interface LastPoll {
  /** Monotonic time at which it was sent. */
  sentAt: number;
  /** Names of the tasks that the worker listed as running. */
  running: ReadonlySet<string>;
  /** Whether the answer left out ends, so that a run may be in neither list. */
  hasMoreEnds: boolean;
}
