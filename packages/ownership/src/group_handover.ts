/** Transfers the state of groups to their next owner before the release. */
export interface GroupHandover {
  /**
   * Called after the authority over the groups has ended. The release is
   * appended when the promise resolves, at the latest at the deadline.
   */
  transfer(
    groups: ReadonlyArray<{group: string; epoch: number}>,
    successor: string,
    deadline: number,
  ): Promise<void>;
}
