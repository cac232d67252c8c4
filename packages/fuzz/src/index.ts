/** Stateful fuzzing of the whole system against a simple oracle. A development tool. */
export {};
