/** Counters, gauges and timings in memory, for Prometheus or for StatsD. */
export * from './memory_metrics.js';
export * from './metrics.js';
export * from './prometheus_metrics.js';
export * from './statsd_metrics.js';
