/** Follows a log stream and folds its records into a state. */
export * from './backoff.js';
export * from './compact_json.js';
export * from './followed_stream.js';
export * from './log_envelope.js';
export * from './log_follower.js';
export * from './log_follower_settings.js';
export * from './stream_fold.js';
