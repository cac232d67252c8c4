/** Reads and validates settings from flags and environment variables. */
export * from './describe_settings.js';
export * from './entry_settings.js';
export * from './format_settings.js';
export * from './invalid_setting_error.js';
export * from './ip_address.js';
export * from './ip_url.js';
export * from './parse_peer_address.js';
export * from './peer_address.js';
export * from './port.js';
export * from './read_entry_settings.js';
export * from './render_settings_page.js';
export * from './setting_description.js';
export * from './setting_metadata.js';
