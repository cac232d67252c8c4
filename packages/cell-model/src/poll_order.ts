/**
 * A poll, which orders a worker to report its runs and ends and extends the
 * worker's lease.
 */
export interface PollOrder {
  /** Lease end on the worker's own clock; undefined leaves it unchanged. */
  leaseEndWorkerMilliseconds: number | undefined;
  /** Fencing token: the epoch of the shard's owner. */
  fence: number;
  /** Ends up to this number are recorded, so the worker may discard them. */
  acknowledgedEnd: number;
  /** Maximum time that the worker may wait for an end before it answers. */
  waitMilliseconds: number;
}
