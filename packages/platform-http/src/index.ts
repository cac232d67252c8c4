/** HTTP implementations of the interfaces to the platform. */
export * from './http_json_client.js';
export * from './http_host_list.js';
export * from './http_platform_log.js';
export * from './http_worker_client.js';
export * from './http_worker_connector.js';
export * from './platform_wire.js';
