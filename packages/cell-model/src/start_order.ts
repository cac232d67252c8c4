/** An order to start one run of a task. */
export interface StartOrder {
  taskName: string;
  attempt: number;
  payload: string;
  /** Lease end on the worker's own clock. */
  leaseEndWorkerMilliseconds: number;
  /** Fencing token: the epoch of the shard's owner. */
  fence: number;
  /** Checkpoint to resume from; empty for none. */
  checkpoint: string;
  /** Ticket of the advice service; empty for none. */
  ticket: string;
}
