import {ManualClock} from '@cardamomfield/clock';
import {UnavailableError} from '@cardamomfield/errors';
import {SilentLogger} from '@cardamomfield/logger';
import {Left, Right} from 'purify-ts';
import {afterEach, beforeEach, expect, it, vi} from 'vitest';
import {FormerOwnerMonitor} from './former_owner_monitor.js';
import {hostFixture} from './host_fixture.js';
import {Membership} from './membership.js';
import {ownerFixture} from './owner_fixture.js';
import type {PeerClient} from './peer_client.js';
import {PeerMethod} from './peer_method.js';

const ASK_INTERVAL_MILLISECONDS = 250;

let clock: ManualClock;
let membership: Membership;
let monitor: FormerOwnerMonitor;
const call = vi.fn();
const noAnswer = Left(UnavailableError.create('refused', {isRefused: true}));

/** Answer of a process to a ping. */
function answer(incarnation: string | undefined, more: object = {}) {
  return Right({
    isOwner: false,
    epoch: 0,
    isLogDown: false,
    desiredStateVersion: 0,
    incarnation,
    ...more,
  });
}

beforeEach(async () => {
  vi.resetAllMocks();
  call.mockResolvedValue(noAnswer);
  clock = ManualClock.create();
  const logger = SilentLogger.create();
  membership = Membership.create(hostFixture('self', 1_000), clock, logger);
  monitor = FormerOwnerMonitor.create({
    membership,
    peers: {call} as unknown as PeerClient,
    clock,
    logger,
    isOwner: () => true,
    endedOwnerships: new Map(),
  });
  void monitor.run();
  membership.updateOwner(ownerFixture('former', 10_000), 'news');
  await clock.advance(1_000);
  membership.updateOwner(ownerFixture('self', 20_000), 'news');
});

afterEach(() => monitor.stop());

// Guards against two runs of a task: a frozen or cut-off owner, and one behind a
// cut that refuses connections, may still renew leases.
it('does not take an owner for ended that does not answer', async () => {
  await clock.advance(5_000);
  expect(call).toHaveBeenCalled();
  expect(monitor.lastGrantAt(10_000)).toBeUndefined();
});

// Guards against a wait for the longest lease after the crash of an owner.
it('takes an owner for ended once another process answers there', async () => {
  call.mockResolvedValue(answer('another'));
  await clock.advance(ASK_INTERVAL_MILLISECONDS);
  const askedAt = clock.monotonicNow();
  expect(monitor.lastGrantAt(10_000)).toBeLessThanOrEqual(askedAt);
  expect(monitor.lastGrantAt(10_000)).toBeGreaterThan(askedAt - 300);
  await clock.advance(1_000);
  expect(call).toHaveBeenCalledTimes(1);
});

it('uses the last grant that a replaced owner states', async () => {
  const endedOwnerships = [{epoch: 10_000, lastGrantMillisecondsAgo: 700}];
  call.mockResolvedValue(answer('former', {endedOwnerships}));
  await clock.advance(ASK_INTERVAL_MILLISECONDS);
  const expected = clock.monotonicNow() - 700;
  expect(monitor.lastGrantAt(10_000)).toBeLessThanOrEqual(expected);
  expect(monitor.lastGrantAt(10_000)).toBeGreaterThan(expected - 300);
});

// Guards against two runs of a task: an owner that has not learned of its
// successor goes on granting leases.
it('tells a process of its successor that still owns the shard', async () => {
  call.mockResolvedValue(answer('former', {isOwner: true, epoch: 10_000}));
  await clock.advance(ASK_INTERVAL_MILLISECONDS);
  expect(monitor.lastGrantAt(10_000)).toBeUndefined();
  const methods = call.mock.calls.map(([, method]) => method as string);
  expect(methods).toContain(PeerMethod.ownerUpdate);
});

// Guards against a host of an earlier version that is taken for another process.
it('learns nothing from an answer without an incarnation', async () => {
  call.mockResolvedValue(answer(undefined));
  await clock.advance(ASK_INTERVAL_MILLISECONDS);
  expect(monitor.lastGrantAt(10_000)).toBeUndefined();
});

it('knows when it learned of the claim that followed', async () => {
  expect(monitor.epochs).toEqual([10_000, 20_000]);
  const learnedAt = clock.monotonicNow();
  await clock.advance(500);
  expect(monitor.replacedAt(10_000)).toBe(learnedAt);
  expect(monitor.replacedAt(20_000)).toBe(Infinity);
});
