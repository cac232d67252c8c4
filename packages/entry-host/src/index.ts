/** Assembly, start and graceful shutdown of the entry daemon. */
export * from './create_container.js';
export * from './entry_host.js';
export * from './entry_parts.js';
export * from './run_entry_host.js';
export * from './tokens.js';
