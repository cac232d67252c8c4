/** Intents and outcomes of non-idempotent requests on the log, in grouped appends. */
export {};
