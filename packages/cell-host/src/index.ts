/** One host of the cell. */
export * from './caller_authenticator.js';
export * from './cell_host.js';
export * from './cell_ports.js';
export * from './cell_settings.js';
export * from './desired_state_cache.js';
export * from './host_ranking.js';
export * from './membership.js';
export * from './not_owner_error.js';
export * from './owner_election.js';
export * from './pause_monitor.js';
export * from './peer_client.js';
export * from './peer_messages.js';
export * from './peer_method.js';
export * from './peer_server.js';
export * from './pending_count_cache.js';
export * from './remote_adviser.js';
export * from './shard_gateway.js';
