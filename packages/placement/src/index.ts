/** Capacity index, placement policies, queues, gangs and preemption. */
export * from './choose_rule.js';
export * from './hold_commit.js';
export * from './hold_request.js';
export * from './job.js';
export * from './naive_scheduler.js';
export * from './owner_scheduler.js';
export * from './owner_summary.js';
export * from './placed_task.js';
export * from './placement_policy.js';
export * from './policy_set.js';
export * from './schedule_decision.js';
export * from './scheduler_settings.js';
export * from './task_info.js';
export * from './team_shares.js';
export * from './worker_definition.js';
