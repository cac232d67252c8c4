/** Ownership queries that the coordinator and the registrar use. */
export interface OwnershipView {
  /** The latest claim on a group, whether or not it is in effect. */
  ownerOf(group: string): {process: string; epoch: number} | undefined;

  /** This process's authority over a group, if it has claimed it. */
  authority(group: string): {epoch: number; isHeld(): boolean} | undefined;
}
