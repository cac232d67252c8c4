/** Methods that hosts call on each other. */
export const PeerMethod = {
  ping: 'owner.ping',
  hears: 'owner.hears',
  news: 'owner.news',
  submit: 'submission.submit',
  show: 'submission.show',
  cancel: 'submission.cancel',
  countPending: 'queue.count-pending',
  ask: 'advice.ask',
  take: 'shard.take',
  introduce: 'host.introduce',
  relay: 'platform.relay',
} as const;
