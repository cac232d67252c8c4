/** In-memory log and workers with faults. */
export * from './freezable_clock.js';
export * from './host_weakness.js';
export * from './memory_cell_link.js';
export * from './memory_cell_worker.js';
export * from './memory_shard_log.js';
export * from './memory_shard_store.js';
export * from './ownership_run.js';
export * from './promise_ledger.js';
export * from './simulated_owner_host.js';
