/** Counters, gauges and timings, kept in memory or sent by StatsD. */
export * from './memory_metrics.js';
export * from './metrics.js';
export * from './prometheus_metrics.js';
export * from './statsd_metrics.js';
