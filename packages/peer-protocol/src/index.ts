/** Schemas of the messages between entry hosts. */
export * from './configuration_fetch.js';
export * from './configuration_section.js';
export * from './heartbeat_section.js';
export * from './peer_method.js';
export * from './peer_network.js';
