/** Structured logs as JSON lines or text. */
export * from './consola_logger.js';
export * from './logger.js';
export * from './silent_logger.js';
