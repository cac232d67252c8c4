/** Composition, start and graceful shutdown of the entry daemon. */
export {};
