import type {JournalEntry} from './journal_entry.js';

/** All entries that have not expired, in the order of their intents. */
export interface JournalState {
  entries: ReadonlyMap<string, JournalEntry>;
  /** Key of each entry by the place of its intent, as `offset~index`. */
  places: ReadonlyMap<string, string>;
  /** Latest instant of a record; entries expire by it. */
  time: number;
}
