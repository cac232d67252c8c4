/** The platform interfaces over HTTP. */
export * from './http_caller.js';
export * from './http_host_list.js';
export * from './http_platform_log.js';
export * from './http_worker_client.js';
export * from './http_worker_connector.js';
export * from './platform_wire.js';
