/** The owner of a shard. */
export * from './advice_channel.js';
export * from './advice_dispatcher.js';
export * from './claim_shard.js';
export * from './fencing_sequence.js';
export * from './former_owners.js';
export * from './lease_terms.js';
export * from './order_slots.js';
export * from './owner_limits.js';
export * from './owner_policies.js';
export * from './owner_timing.js';
export * from './run_tracker.js';
export * from './shard_claim.js';
export * from './shard_journal.js';
export * from './shard_owner.js';
export * from './worker_clock.js';
export * from './worker_session.js';
