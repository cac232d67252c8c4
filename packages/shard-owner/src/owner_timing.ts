/** Time limits of the cell that the owner relies on, in milliseconds. */
export interface OwnerTiming {
  /** Longest lease that a worker allows, on its own clock. */
  maximumLeaseMilliseconds: number;
  /** Longest time that a worker takes to end a run, by a stop or a lease. */
  stopMilliseconds: number;
  /** Longest time that a gang member waits for the others. */
  gangWaitMilliseconds: number;
  /** How long the records of ended submissions are retained. */
  keepEndedMilliseconds: number;
}
