/** Structured logs in JSON lines or text. */
export {};
