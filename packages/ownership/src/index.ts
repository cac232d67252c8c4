/**
 * Authority over worker groups: voters, claims, takeover, handover and
 * assignment.
 */
export * from './group_authority.js';
export * from './group_claim.js';
export * from './group_handover.js';
export * from './ownership_fold.js';
export * from './ownership_listener.js';
export * from './ownership_manager.js';
export * from './ownership_record.js';
export * from './ownership_settings.js';
export * from './ownership_state.js';
export * from './ownership_status.js';
export * from './rendezvous_ranking.js';
