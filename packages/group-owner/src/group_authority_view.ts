/** The rights of this process over groups, as the owner needs them. */
export interface GroupAuthorityView {
  /** Authority over a group whose claim has taken effect. */
  authority(
    group: string,
  ): {epoch: number; isHeld(): boolean; heldUntil(): number} | undefined;

  /** A deputy's right to renew leases of a group whose owner is silent. */
  renewalAuthority(
    group: string,
  ): {epoch: number; isHeld(): boolean} | undefined;
}
