import {FencingSequence} from '@cardamomfield/shard-owner';
import {ManualClock} from '@cardamomfield/clock';
import {ConflictError, UncertainError} from '@cardamomfield/errors';
import {SilentLogger} from '@cardamomfield/logger';
import {Left, Right} from 'purify-ts';
import {beforeEach, expect, it, vi} from 'vitest';
import {hostFixture} from './host_fixture.js';
import {Membership} from './membership.js';
import {OwnerElection} from './owner_election.js';
import {ownerFixture} from './owner_fixture.js';
import type {PeerClient} from './peer_client.js';
import {PeerMethod} from './peer_method.js';

/** State of a weak host that gets no answers unless a test mocks them. */
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
  membership.updateHost(hostFixture('strong-1', 1_350));
  membership.updateHost(hostFixture('strong-2', 1_350));
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

// Guards against replacing a working owner whose answer reached a slow host
// only while that host waited for its turn to claim. In a
// measured run the shard had no owner for 8 s because of this.
it('does not claim when the owner responds before its turn', async () => {
  membership.updateOwner(ownerFixture('strong-1', 3), 'news');
  call.mockImplementation(async (address: string) =>
    address === 'strong-2:1'
      ? Right({epoch: 3, heardMillisecondsAgo: 1e9, desiredStateVersion: 0})
      : noAnswer,
  );
  void election.run();
  await clock.advance(800);
  membership.lastOwnerContactAt = clock.monotonicNow();
  await clock.advance(400);
  expect(append).not.toHaveBeenCalled();
  // From here on the owner never responds again.
  await clock.advance(3_000);
  expect(append).toHaveBeenCalled();
  election.stop();
});

// Guards against replacing a working owner by a slow host, which gets no
// answers and so ranks itself as the strongest of the remaining hosts.
it('does not claim immediately when no host answers', async () => {
  membership.updateOwner(ownerFixture('strong-1', 3), 'news');
  void election.run();
  await clock.advance(2_500);
  expect(append).not.toHaveBeenCalled();
  await clock.advance(1_500);
  expect(append).toHaveBeenCalled();
  election.stop();
});

// Guards against a shard that stays with a host that cannot read its records.
// The host held the epoch and claimed the next one before stronger hosts did.
it('claims last after an own claim that it could not finish', async () => {
  membership.updateOwner(ownerFixture('weak', 4), 'news');
  void election.run();
  await clock.advance(150);
  expect(append).not.toHaveBeenCalled();
  await clock.advance(3_000);
  expect(append).toHaveBeenCalled();
  election.stop();
});

// Guards against the same fault: the other hosts did not know of the unfinished
// claim, and the claim of each failed with a conflict.
it('requests a handover when it cannot read the records', async () => {
  await election.claim('no owner');
  expect(append).toHaveBeenCalledTimes(1);
  expect(onUnfinishedClaim).toHaveBeenCalledTimes(1);
  const epoch = FencingSequence.nextEpoch(0);
  expect(membership.owner).toMatchObject({epoch, hostName: 'weak'});
});

// Guards against replacing an owner that is only slow, for example while it
// polls all workers after a takeover: the next owner is as slow, and each
// change makes all hosts wait again.
it('does not claim from an owner that answers late', async () => {
  const owner = ownerFixture('strong-1', 3);
  membership.updateOwner(owner, 'news');
  const answers = {
    [PeerMethod.ping]: {isOwner: true, epoch: 3, isLogDown: false},
    [PeerMethod.ownerContact]: {epoch: 3, heardMillisecondsAgo: 1e9},
  };
  call.mockImplementation(
    async (
      address: string,
      method: keyof typeof answers,
      _parameters: unknown,
      _result: unknown,
      timeoutMilliseconds: number,
    ) => {
      const delay = address === owner.address ? 800 : 10;
      const waited = Math.min(delay, timeoutMilliseconds);
      await clock.sleepUntil(clock.monotonicNow() + waited);
      if (waited < delay) return noAnswer;
      return Right({...answers[method], desiredStateVersion: 0});
    },
  );
  void election.run();
  await clock.advance(10_000);
  expect(append).not.toHaveBeenCalled();
  election.stop();
});

// Guards against a series of takeovers: each new owner is silent for a moment
// while it polls all workers, and was replaced a few seconds after its claim.
it('allows a new owner a longer silence', async () => {
  membership.updateOwner(ownerFixture('strong-2', 2), 'news');
  await clock.advance(20_000);
  const owner = ownerFixture('strong-1', 3);
  membership.updateOwner(owner, 'news');
  const busyUntil = clock.monotonicNow() + 1_100;
  call.mockImplementation(
    async (
      address: string,
      _method: string,
      _parameters: unknown,
      _result: unknown,
      timeoutMilliseconds: number,
    ) => {
      const isOwner = address === owner.address;
      if (isOwner && clock.monotonicNow() < busyUntil) {
        await clock.sleepUntil(clock.monotonicNow() + timeoutMilliseconds);
        return noAnswer;
      }
      const status = isOwner
        ? {isOwner, isLogDown: false}
        : {heardMillisecondsAgo: 1e9};
      return Right({...status, epoch: 3, desiredStateVersion: 0});
    },
  );
  void election.run();
  await clock.advance(6_000);
  expect(append).not.toHaveBeenCalled();
  election.stop();
});

// Guards against many hosts that read all records of the shard at the same time
// because each of them lost a claim to the same new owner.
it('reads the log for a newer owner only after a second lost claim', async () => {
  append.mockResolvedValue(Left(ConflictError.create('higher epoch')));
  await election.claim('no owner');
  expect(readNewest).not.toHaveBeenCalled();
  await election.claim('no owner');
  expect(readNewest).toHaveBeenCalledTimes(1);
});
