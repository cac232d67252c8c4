/** An order to report runs and ends, and to prolong the worker's lease. */
export interface LookOrder {
  /** Lease end on the worker's own clock; undefined leaves it as it is. */
  leaseEndWorkerMilliseconds: number | undefined;
  fence: number;
  /** Ends up to this number are recorded and may be forgotten. */
  acknowledgedEnd: number;
  /** How long the worker may wait for an end before it answers. */
  waitMilliseconds: number;
}
