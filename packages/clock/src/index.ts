/** Time and randomness behind interfaces, so that tests can control both. */
export * from './after_pending_input.js';
export * from './after_turns.js';
export * from './call_deadline.js';
export * from './clock.js';
export * from './pause_detector.js';
export * from './manual_clock.js';
export * from './notifier.js';
export * from './random_source.js';
export * from './seeded_random_source.js';
export * from './sleep_signal.js';
export * from './system_clock.js';
export * from './waker.js';
