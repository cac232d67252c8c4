/** A call to a worker that grants a lease. */
export interface LeaseCall {
  /** To be called once, when the call has been answered or has failed. */
  end(isAnswered: boolean): void;
}
