/** Stateful fuzzing of the whole system against a simple oracle. A development tool. */
export * from './ownership_fuzz.js';
export * from './ownership/weakened_ownership.js';
export * from './ownership_measurement.js';
