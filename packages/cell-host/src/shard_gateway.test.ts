import {SubmissionLimits} from '@cardamomfield/cell-scheduler';
import {ManualClock} from '@cardamomfield/clock';
import {UncertainError} from '@cardamomfield/errors';
import {SilentLogger} from '@cardamomfield/logger';
import {Left} from 'purify-ts';
import {expect, it} from 'vitest';
import {hostFixture} from './host_fixture.js';
import {Membership} from './membership.js';
import {ownerFixture} from './owner_fixture.js';
import type {PeerClient} from './peer_client.js';
import {ShardGateway} from './shard_gateway.js';

/** Shortest time limit that gives a busy owner a chance to answer. */
const USEFUL_CALL_MILLISECONDS = 200;

// Guards against a busy owner that gets every slow request twice: the second
// call has next to no time for an answer, and its time-out replaces all
// connections to the owner.
it('does not call the owner again without time for an answer', async () => {
  const clock = ManualClock.create();
  const logger = SilentLogger.create();
  const membership = Membership.create(hostFixture('host', 324), clock, logger);
  membership.updateOwner(ownerFixture('owner', 3), 'news');
  const timeouts: number[] = [];
  const call = async (...parameters: unknown[]) => {
    const timeout = parameters[4] as number;
    timeouts.push(timeout);
    await clock.sleepUntil(clock.monotonicNow() + timeout);
    return Left(UncertainError.create('timed out'));
  };
  const gateway = ShardGateway.create({
    membership,
    peers: {call} as unknown as PeerClient,
    clock,
    localOwner: () => undefined,
    limits: SubmissionLimits.create({recordBytes: 1, memoryBytes: 1}),
  });
  void gateway.show('00000000000000aa', clock.monotonicNow() + 3_000);
  await clock.advance(3_000);
  expect(
    timeouts.filter(timeout => timeout < USEFUL_CALL_MILLISECONDS),
  ).toEqual([]);
});
