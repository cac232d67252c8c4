/**
 * Records intents and outcomes of non-idempotent requests on the log, with
 * group commit.
 */
export * from './journal_entry.js';
export * from './journal_settings.js';
export * from './request_journal.js';
