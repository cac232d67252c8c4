/** Connections between entry hosts: one task for each peer, heartbeats, replacement of silent connections. */
export {};
