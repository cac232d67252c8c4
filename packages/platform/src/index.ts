/** Interfaces to the platform: log service, host list and workers. */
export * from './host_entry.js';
export * from './host_list.js';
export * from './lease_renewal.js';
export * from './log_page.js';
export * from './log_record.js';
export * from './platform_log.js';
export * from './task_phase.js';
export * from './task_start.js';
export * from './worker_client.js';
export * from './worker_connector.js';
export * from './worker_snapshot.js';
export * from './worker_task.js';
