/** Starts the whole system as processes on loopback. A development tool. */
export * from './allocate_port.js';
export * from './caller.js';
export * from './local_cluster.js';
export * from './managed_process.js';
