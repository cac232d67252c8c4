/** Retry budget, absolute deadlines and matching of replies. */
export * from './backoff.js';
