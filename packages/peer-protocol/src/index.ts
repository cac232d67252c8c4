/** Schemas of the messages between entry hosts. */
export * from './peer_method.js';
export * from './peer_network.js';
