/** HTTP API for callers and operators. */
export * from './caller_request.js';
export * from './caller_server.js';
export * from './operator_service.js';
export * from './request_service.js';
