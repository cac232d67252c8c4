/** Methods that a shard's owner calls on a relay host. */
export const RelayMethod = {
  open: 'relay.open',
  openWorker: 'worker.open',
  cachePayload: 'payload.remember',
  clearPayloads: 'payload.forget-all',
  start: 'worker.start',
  stop: 'worker.stop',
  pace: 'worker.pace',
  poll: 'worker.look',
} as const;
