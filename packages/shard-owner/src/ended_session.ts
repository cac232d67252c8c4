/** What the next session with a worker must know of the one that ended. */
export interface EndedSession {
  /** Monotonic time by which the leases that it granted have expired. */
  leasesEndAt: number;
  /** Monotonic time until which its calls may still be carried out. */
  lateCallsEndAt: number;
}
