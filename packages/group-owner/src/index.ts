/** Queues, starts and tracks the tasks of the worker groups of this process. */
export * from './group_authority_view.js';
export * from './group_owner.js';
export * from './group_owner_settings.js';
