/**
 * Inventory and rules: publishes changes, decides which of them are accepted,
 * follows the log and fetches the configuration from peers.
 */
export * from './apply_delta.js';
export * from './check_change.js';
export * from './configuration.js';
export * from './configuration_change.js';
export * from './configuration_delta.js';
export * from './configuration_fold.js';
export * from './configuration_history.js';
export * from './configuration_items.js';
export * from './configuration_record.js';
export * from './configuration_snapshot.js';
export * from './dictionary.js';
export * from './empty_configuration.js';
export * from './file_problem.js';
export * from './inventory_change.js';
export * from './inventory_file.js';
export * from './item_kinds.js';
export * from './item_table.js';
export * from './no_version.js';
export * from './parse_file.js';
export * from './publish_outcome.js';
export * from './refusal.js';
export * from './resolve_rule.js';
export * from './rules_change.js';
export * from './rules_file.js';
export * from './to_items.js';
export * from './to_state.js';
export * from './verdict.js';
export * from './versioned_configuration.js';
export * from './with_dictionaries.js';
