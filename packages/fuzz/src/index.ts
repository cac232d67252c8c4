/** Stateful fuzzing of the whole system against a simple oracle. A development tool. */
export * from './ownership_fuzz.js';
export * from './ownership/ownership_defects.js';
export * from './ownership_measurement.js';
