/** Retry budget, absolute deadlines and matching of replies to attempts. */
export * from './backoff.js';
export * from './call_with_retries.js';
export * from './reply_matcher.js';
export * from './reply_verdict.js';
export * from './retry_budget.js';
