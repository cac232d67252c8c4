/** State of a shard and the decisions on it. */
export * from './advice_wish.js';
export * from './pacing_policy.js';
export * from './placement.js';
export * from './priority_order.js';
export * from './record_codec.js';
export * from './run.js';
export * from './scheduler.js';
export * from './scheduling_pass.js';
export * from './shard_state.js';
export * from './step_advice.js';
export * from './step_progress.js';
export * from './step_state.js';
export * from './submission_record.js';
export * from './task_state.js';
export * from './waiting_order.js';
export * from './worker_choice.js';
export * from './worker_state.js';
