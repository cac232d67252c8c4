/**
 * Connections between entry hosts: one task for each peer, heartbeats,
 * replacement of silent connections.
 */
export * from './heartbeat_period.js';
export * from './memory_peer_hub.js';
export * from './memory_peer_network.js';
export * from './peer_address.js';
export * from './peer_mesh.js';
export * from './silence_limit.js';
export * from './traffic_counters.js';
