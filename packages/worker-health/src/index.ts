/**
 * Ejection of failing workers, probing, slow start, and estimates of run times
 * and task sizes.
 */
export * from './health_settings.js';
export * from './run_time_estimator.js';
export * from './size_estimator.js';
export * from './worker_health.js';
export * from './worker_phase.js';
