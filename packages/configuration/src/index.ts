/** Inventory and rules: acceptance, following, publishing and spreading between peers. */
export * from './configuration.js';
export * from './configuration_change.js';
export * from './configuration_delta.js';
export * from './configuration_fold.js';
export * from './configuration_history.js';
export * from './configuration_record.js';
export * from './dictionary.js';
export * from './empty_configuration.js';
export * from './item_kinds.js';
export * from './no_version.js';
export * from './publish_outcome.js';
export * from './refusal.js';
export * from './resolve_rule.js';
export * from './to_delta.js';
export * from './verdict.js';
export * from './versioned_configuration.js';
export * from './with_dictionaries.js';
