/** Reads a log stream into a state by a pure fold. */
export * from './followed_stream.js';
export * from './stream_fold.js';
