/** Intents and outcomes of non-idempotent requests on the log, in grouped appends. */
export * from './journal_entry.js';
export * from './journal_settings.js';
export * from './request_journal.js';
