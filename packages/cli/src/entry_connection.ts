/** Options of all subcommands that talk to entry hosts. */
export interface EntryConnection {
  /** Base URLs; undefined to use those of the environment. */
  entry: string[] | undefined;
  timeoutSeconds: number;
  json: boolean;
}
