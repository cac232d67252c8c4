/**
 * Stand-ins for the services of the platform, with fault injection, in memory
 * and over HTTP.
 */
export * from './call_outcome.js';
export * from './fault_injector.js';
export * from './fault_settings.js';
export * from './host_list_server.js';
export * from './host_list_service.js';
export * from './log_server.js';
export * from './log_service.js';
export * from './memory_host_list.js';
export * from './memory_platform_log.js';
export * from './memory_worker_client.js';
export * from './memory_worker_connector.js';
export * from './start_record.js';
export * from './task_behaviour.js';
export * from './work_ledger.js';
export * from './worker_behaviour.js';
export * from './worker_server.js';
export * from './worker_service.js';
