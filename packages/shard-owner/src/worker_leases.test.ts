import {ManualClock} from '@cardamomfield/clock';
import {expect, it} from 'vitest';
import {WorkerLeases} from './worker_leases.js';

const LEASE_MILLISECONDS = 5_000;
const PAUSE_MILLISECONDS = 3_000;

function createLeases(clock: ManualClock): WorkerLeases {
  return WorkerLeases.create({
    journal: {isLogFailing: () => false},
    clock,
    timing: {
      maximumLeaseMilliseconds: 10_000,
      stopMilliseconds: 100,
      gangWaitMilliseconds: 3_000,
      keepEndedMilliseconds: 600_000,
    },
    earlierLeasesEndAt: 0,
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
