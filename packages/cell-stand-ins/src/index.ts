/** In-memory stand-ins of the log, workers and hosts, with fault injection. */
export * from './host_overrides.js';
export * from './memory_cell_link.js';
export * from './memory_cell_worker.js';
export * from './memory_gangs.js';
export * from './memory_shard_log.js';
export * from './memory_shard_store.js';
export * from './ownership_simulation.js';
export * from './pausable_clock.js';
export * from './recovery_simulation.js';
export * from './run_ledger.js';
export * from './simulated_owner_host.js';
