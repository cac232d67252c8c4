/** Policies of the cell that the owner of a shard follows. */
export interface OwnerPolicies {
  /** Whether submissions that cannot be done in time are refused. */
  refusesUnderLoad: boolean;
  /**
   * Whether waiting work is served by what it can still be worth to its caller,
   * in place of its age.
   */
  ordersByObjective: boolean;
  /**
   * Whether workers are judged by their runs, and slow, failing and flapping
   * ones avoided. Otherwise only repeated failures exclude a worker for a while.
   */
  judgesWorkers: boolean;
  /**
   * Factor by which tasks run longer away from their data or their group; 1
   * when not known.
   */
  farPlacePenalty: number;
}
