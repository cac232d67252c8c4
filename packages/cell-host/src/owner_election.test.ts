import {ManualClock} from '@cardamomfield/clock';
import {UncertainError} from '@cardamomfield/errors';
import {SilentLogger} from '@cardamomfield/logger';
import {Left, Right} from 'purify-ts';
import {beforeEach, expect, it, vi} from 'vitest';
import {hostFixture} from './host_fixture.js';
import {Membership} from './membership.js';
import {OwnerElection} from './owner_election.js';
import {ownerFixture} from './owner_fixture.js';
import type {PeerClient} from './peer_client.js';

/** A weak host; nobody answers it unless a test says otherwise. */
let clock: ManualClock;
let membership: Membership;
let election: OwnerElection;
const noAnswer = Left(UncertainError.create('timed out'));
const call = vi.fn();
const append = vi.fn();
const readNewest = vi.fn();
const onUnfinishedClaim = vi.fn();

beforeEach(() => {
  vi.resetAllMocks();
  call.mockResolvedValue(noAnswer);
  append.mockResolvedValue(Right(undefined));
  readNewest.mockResolvedValue(noAnswer);
  clock = ManualClock.create();
  const logger = SilentLogger.create();
  membership = Membership.create(hostFixture('weak', 324), clock, logger);
  membership.takeHost(hostFixture('strong-1', 1_350));
  membership.takeHost(hostFixture('strong-2', 1_350));
  election = OwnerElection.create({
    membership,
    peers: {call} as unknown as PeerClient,
    log: {append, readNewest, confirmEpoch: vi.fn()},
    clock,
    logger,
    shard: 'cell-0',
    random: () => 0,
    isOwner: () => false,
    desiredStateVersion: () => 0,
    onNewerDesiredState: () => {},
    onClaimed: () => {},
    onUnfinishedClaim,
  });
});

// Guards against an owner that works and is replaced by a host that was slow to
// hear it: the sign of life came while the host waited for its turn to claim
// (ftmc-routes-grown trouble-1, 8 s without a shard).
it('does not claim when the owner was heard during its turn', async () => {
  membership.takeOwner(ownerFixture('strong-1', 3), 'news');
  call.mockImplementation(async (address: string) =>
    address === 'strong-2:1'
      ? Right({epoch: 3, heardMillisecondsAgo: 1e9, desiredStateVersion: 0})
      : noAnswer,
  );
  void election.run();
  await clock.advance(800);
  membership.heardOwnerAt = clock.monotonicNow();
  await clock.advance(400);
  expect(append).not.toHaveBeenCalled();
  // The owner falls silent for good.
  await clock.advance(3_000);
  expect(append).toHaveBeenCalled();
  election.stop();
});

// Guards against the same: a host that is slow itself hears nobody, and so takes
// itself for the strongest one left.
it('does not claim at once when no host answers', async () => {
  membership.takeOwner(ownerFixture('strong-1', 3), 'news');
  void election.run();
  await clock.advance(2_500);
  expect(append).not.toHaveBeenCalled();
  await clock.advance(1_500);
  expect(append).toHaveBeenCalled();
  election.stop();
});

// Guards against a shard that stays with a host that cannot read its records: it
// held the epoch, and its next claim came before those of stronger hosts.
it('claims after all others when its own claim was not finished', async () => {
  membership.takeOwner(ownerFixture('weak', 4), 'news');
  void election.run();
  await clock.advance(150);
  expect(append).not.toHaveBeenCalled();
  await clock.advance(3_000);
  expect(append).toHaveBeenCalled();
  election.stop();
});

// Guards against the same: the others did not know of the claim, and each lost
// its turn to a conflict with it.
it('gives away a shard whose records it cannot read', async () => {
  await election.claim('no owner');
  expect(append).toHaveBeenCalledTimes(1);
  expect(onUnfinishedClaim).toHaveBeenCalledTimes(1);
  expect(membership.owner).toMatchObject({epoch: 1, hostName: 'weak'});
});
