/** Calls to workers through other hosts. */
export * from './choose_relays.js';
export * from './frame_stream.js';
export * from './relay_channel.js';
export * from './relay_failure.js';
export * from './relay_messages.js';
export * from './relay_method.js';
export * from './relay_server.js';
export * from './relayed_worker_link.js';
export * from './relayed_worker_links.js';
export * from './worker_link_pool.js';
