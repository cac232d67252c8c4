import type {ShardLog} from '@cardamomfield/cell-model';
import {SystemClock} from '@cardamomfield/clock';
import {Right} from 'purify-ts';
import {expect, it} from 'vitest';
import {claimShard} from './claim_shard.js';

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
      claimant: {
        shard: 'cell-0',
        epoch: 1,
        hostName: 'a',
        address: '127.0.0.1:9',
        incarnation: 'a-1',
      },
      random: () => 0.5,
      readsNewerOwner: false,
    });
    expect((await claim).isLeft()).toBe(true);
  },
);
