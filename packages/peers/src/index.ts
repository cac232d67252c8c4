/** Connections between entry hosts: one task for each peer, heartbeats, replacement of silent connections. */
export * from './heartbeat_period.js';
export * from './memory_peer_hub.js';
export * from './memory_peer_network.js';
export * from './silence_limit.js';
