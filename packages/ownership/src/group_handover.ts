/** Passes the state of groups on before their release. */
export interface GroupHandover {
  /**
   * Authority has ended when this is called; the release follows when it
   * resolves, at the latest at the deadline.
   */
  transfer(
    groups: ReadonlyArray<{group: string; epoch: number}>,
    successor: string,
    deadline: number,
  ): Promise<void>;
}
