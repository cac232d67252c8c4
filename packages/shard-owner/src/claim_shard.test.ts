import type {ShardLog} from '@cardamomfield/cell-model';
import {SystemClock} from '@cardamomfield/clock';
import {Right} from 'purify-ts';
import {expect, it} from 'vitest';
import {claimShard} from './claim_shard.js';

const CLAIMANT = {
  shard: 'cell-0',
  epoch: 1,
  hostName: 'a',
  address: '127.0.0.1:9',
  incarnation: 'a-1',
};

// Guards against an owner that takes no account of earlier leases although the
// log shows that there was work.
it.each([
  ['s/00000000000000aa', false],
  ['e/00000000000000aa', false],
  ['o', true],
])(
  'tells whether a log with the key %s holds no work',
  async (key, isEmpty) => {
    const records = new Map([[key, '{}']]);
    const log: ShardLog = {
      append: async appended => {
        for (const each of appended) records.set(each.key, each.value);
        return Right(undefined);
      },
      confirmEpoch: async () => Right(undefined),
      readNewest: async () =>
        Right([...records].map(([name, value]) => ({key: name, value}))),
    };
    const claim = await claimShard({
      log,
      clock: SystemClock.create(),
      claimant: CLAIMANT,
      random: () => 0.5,
      readsNewerOwner: false,
    });
    expect(claim.unsafeCoerce().isEmpty).toBe(isEmpty);
  },
);

// Guards against a process that exits because an odd record of the shard's owner
// made the claim throw.
it.each(['{', '{"epoch":9007199254740992}', '['.repeat(50_000)])(
  'answers with a failure when the owner record of the log is odd',
  async value => {
    const log: ShardLog = {
      append: async () => Right(undefined),
      confirmEpoch: async () => Right(undefined),
      readNewest: async () => Right([{key: 'o', value}]),
    };
    const claim = claimShard({
      log,
      clock: SystemClock.create(),
      claimant: CLAIMANT,
      random: () => 0.5,
      readsNewerOwner: false,
    });
    expect((await claim).isLeft()).toBe(true);
  },
);
