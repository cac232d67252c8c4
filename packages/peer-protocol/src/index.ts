/** Schemas of the messages between entry hosts. */
export * from './authority_ask.js';
export * from './claim_announce.js';
export * from './heartbeat_section.js';
export * from './known_claim.js';
export * from './ownership_section.js';
export * from './peer_method.js';
export * from './peer_network.js';
export * from './voters_announce.js';
export * from './voters_view.js';
