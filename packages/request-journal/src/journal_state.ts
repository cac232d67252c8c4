import type {JournalEntry} from './journal_entry.js';

/** All entries that have not expired, in the order of their intents. */
export interface JournalState {
  entries: ReadonlyMap<string, JournalEntry>;
  /** Key of each entry by the position of its intent, as `offset~index`. */
  keysByPosition: ReadonlyMap<string, string>;
  /** Latest instant of any record; determines which entries expire. */
  time: number;
}
