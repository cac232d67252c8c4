/** Methods of a channel from a shard's owner to a relay host. */
export const RelayMethod = {
  open: 'relay.open',
  openWorker: 'worker.open',
  rememberPayload: 'payload.remember',
  forgetPayloads: 'payload.forget-all',
  start: 'worker.start',
  stop: 'worker.stop',
  pace: 'worker.pace',
  look: 'worker.look',
} as const;
