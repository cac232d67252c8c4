/** The owner's side of worker groups. */
export * from './group_authority_view.js';
export * from './group_owner.js';
export * from './group_owner_settings.js';
