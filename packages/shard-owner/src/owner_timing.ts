/** Time bounds of the cell that an owner keeps to, in milliseconds. */
export interface OwnerTiming {
  /** Longest lease that a worker grants, on its own clock. */
  maximumLeaseMilliseconds: number;
  /** Longest time that a stop takes on a worker. */
  stopMilliseconds: number;
  /** Longest time that a gang member waits for the others. */
  gangWaitMilliseconds: number;
  /** How long ended submissions can be asked for. */
  keepEndedMilliseconds: number;
}
