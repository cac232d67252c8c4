/** Limits of a process's HTTP servers for untrusted clients. */
export * from './body_blocks.js';
export * from './body_error.js';
export * from './byte_budget.js';
export * from './client_limits.js';
export * from './closes_after_answer.js';
export * from './guarded_server.js';
export * from './limit_reporter.js';
export * from './read_body.js';
