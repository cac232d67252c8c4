/** Why a submission is refused under load. */
export interface LoadRefusal {
  /**
   * `advice`: the advice service is too slow; `excess`: beyond the contract of
   * the team; `backlog`: it cannot end while it is worth something.
   */
  reason: 'advice' | 'excess' | 'backlog';
  /** Expected time before the submission would start. */
  waitMilliseconds: number;
  /** Expected time until the submission could be accepted. */
  drainMilliseconds: number;
}
