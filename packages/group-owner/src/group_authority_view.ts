/** The rights of this process over groups, as used by the group owner. */
export interface GroupAuthorityView {
  /** Authority over a group once the claim of this process takes effect. */
  authority(
    group: string,
  ): {epoch: number; isHeld(): boolean; heldUntil(): number} | undefined;

  /** A deputy's right to renew leases of a group whose owner is silent. */
  renewalAuthority(
    group: string,
  ): {epoch: number; isHeld(): boolean} | undefined;
}
