/** Records of a claim that the new owner has to handle. */
export interface RestoredKeys {
  /** Keys of records that cannot be read; they stay in the log. */
  unreadable: string[];
  /** Keys of records that are of no use any more. */
  obsolete: string[];
  /** IDs of submissions that were accepted without a limit and are too large. */
  oversized: string[];
  /** IDs of large submissions that an earlier version recorded as small. */
  outdated: string[];
}
