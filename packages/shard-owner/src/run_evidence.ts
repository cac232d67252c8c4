/** What the owner knows about a worker when it decides about one of its runs. */
export interface RunEvidence {
  workerState: 'ready' | 'draining';
  /** False once the directory has omitted the worker for too long. */
  isListed: boolean;
  /** Whether the worker answered the last poll. */
  isReachable: boolean;
  /** Time since the worker's last answer to a poll, or since the first poll. */
  silentMilliseconds: number;
  /**
   * Time until all granted leases have expired; negative afterwards, undefined
   * while no lease has been granted.
   */
  leaseEndsInMilliseconds: number | undefined;
  /** Incarnation that answered last; 0 before the first answer. */
  workerBornAt: number;
}
