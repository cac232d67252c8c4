import {ManualClock} from '@cardamomfield/clock';
import {expect, it} from 'vitest';
import {WorkerLeases} from './worker_leases.js';

const LEASE_MILLISECONDS = 5_000;
const LONGEST_LEASE_MILLISECONDS = 10_000;
const PAUSE_MILLISECONDS = 3_000;

function createLeases(clock: ManualClock, leaseLimit = Infinity): WorkerLeases {
  return WorkerLeases.create({
    journal: {leaseLimit},
    clock,
    timing: {
      maximumLeaseMilliseconds: LONGEST_LEASE_MILLISECONDS,
      stopMilliseconds: 100,
      gangWaitMilliseconds: 3_000,
      keepEndedMilliseconds: 600_000,
    },
    earlierLeasesEndAt: () => 0,
    earlierCallsEndAt: 0,
    endedLeasesEndAt: 0,
    onGrant: () => {},
    lateCallsEndAt: -Infinity,
  });
}

// Guards against two runs of a task on a machine that stood still: its clock had
// stood still too, so its lease ended later than the owner had computed.
it('measures a lease from the newest reading of the clock', async () => {
  const clock = ManualClock.create();
  const leases = createLeases(clock);
  leases.observe(1_000, clock.monotonicNow());
  const end = leases.grant(clock.monotonicNow());
  expect(end).toBe(1_000 + LEASE_MILLISECONDS);
  await clock.advance(PAUSE_MILLISECONDS);
  leases.observe(1_000, clock.monotonicNow());
  const remaining = leases.expireAt - clock.monotonicNow();
  expect(remaining).toBeGreaterThan(LEASE_MILLISECONDS);
});

// Guards against lasting tasks that stay down for 15 s although no call to the
// former incarnation of their worker can be carried out late.
it('counts no lease after a restart without unanswered calls', () => {
  const clock = ManualClock.create();
  const leases = createLeases(clock);
  leases.observe(1_000, clock.monotonicNow());
  const call = leases.beginCall();
  leases.grant(clock.monotonicNow());
  call.end(true);
  leases.beginIncarnation(true);
  expect(leases.expireAt).toBeLessThanOrEqual(clock.monotonicNow());
});

// Guards against two runs of a task: an unanswered call to the former incarnation
// may grant the new one the longest lease until its token is refused.
it('counts the longest lease until late calls are refused', async () => {
  const clock = ManualClock.create();
  const leases = createLeases(clock);
  leases.observe(1_000, clock.monotonicNow());
  const call = leases.beginCall();
  leases.grant(clock.monotonicNow());
  call.end(false);
  leases.beginIncarnation(true);
  await clock.advance(PAUSE_MILLISECONDS);
  leases.noteFenced();
  const {expireAt} = leases;
  expect(expireAt - clock.monotonicNow()).toBeGreaterThan(
    LONGEST_LEASE_MILLISECONDS,
  );
  await clock.advance(PAUSE_MILLISECONDS);
  leases.noteFenced();
  expect(leases.expireAt).toBe(expireAt);
});

// Guards against two runs of a task: the new incarnation has carried out a call
// to the former one and holds the longest lease.
it.each([
  ['has answered a start', (leases: WorkerLeases) => leases.coverOtherClock()],
  ['answers a poll', (leases: WorkerLeases) => void leases.beginCall()],
])('counts the longest lease if a new incarnation %s', (_, act) => {
  const clock = ManualClock.create();
  const leases = createLeases(clock);
  leases.observe(1_000, clock.monotonicNow());
  act(leases);
  leases.grant(clock.monotonicNow());
  leases.beginIncarnation(true);
  expect(leases.expireAt - clock.monotonicNow()).toBeGreaterThan(
    LONGEST_LEASE_MILLISECONDS,
  );
});

// Guards against a long wait for the runs of a lost worker.
it('does not extend a lease by readings of a clock that goes on', async () => {
  const clock = ManualClock.create();
  const leases = createLeases(clock);
  leases.observe(1_000, clock.monotonicNow());
  leases.grant(clock.monotonicNow());
  const {expireAt} = leases;
  await clock.advance(PAUSE_MILLISECONDS);
  leases.observe(1_000 + PAUSE_MILLISECONDS, clock.monotonicNow());
  expect(leases.expireAt).toBeLessThanOrEqual(expireAt);
});

// Guards against two runs of a task: a later owner may have taken over any time
// after the last proof of the epoch, and waits for leases that end by then.
it('grants no lease beyond the limit that the last proof sets', async () => {
  const clock = ManualClock.create();
  const limit = clock.monotonicNow() + PAUSE_MILLISECONDS;
  const leases = createLeases(clock, limit);
  leases.observe(1_000, clock.monotonicNow());
  expect(leases.grant(clock.monotonicNow())).toBe(1_000 + PAUSE_MILLISECONDS);
  await clock.advance(PAUSE_MILLISECONDS + 1_000);
  leases.grant(clock.monotonicNow());
  // The lease stays as it was granted before.
  expect(leases.expireAt).toBeLessThan(limit + 1_000);
});
