/** Records the events of a process and merges those of several. */
export * from './compare_hybrid_time.js';
export * from './filter_timeline.js';
export * from './format_timeline_event.js';
export * from './hybrid_time.js';
export * from './merge_timelines.js';
export * from './timeline.js';
export * from './timeline_event.js';
export * from './timeline_filter.js';
