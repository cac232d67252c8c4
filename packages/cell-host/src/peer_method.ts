/** Methods that hosts call on each other. */
export const PeerMethod = {
  ping: 'owner.ping',
  heartbeat: 'owner.heartbeat',
  ownerContact: 'owner.hears',
  ownerUpdate: 'owner.news',
  submit: 'submission.submit',
  show: 'submission.show',
  cancel: 'submission.cancel',
  countPending: 'queue.count-pending',
  explain: 'placement.explain',
  queryAdvice: 'advice.ask',
  takeOver: 'shard.take',
  introduce: 'host.introduce',
  relay: 'platform.relay',
} as const;
