/** Events of one process, and merging the events of several. */
export * from './compare_hybrid_time.js';
export * from './hybrid_time.js';
export * from './timeline.js';
export * from './timeline_event.js';
