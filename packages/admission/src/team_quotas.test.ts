import {ManualClock, SeededRandomSource} from '@cardamomfield/clock';
import {type Job, OwnerScheduler} from '@cardamomfield/placement';
import type {WorkKind} from '@cardamomfield/types';
import {describe, expect, it} from 'vitest';
import {TeamQuotas} from './team_quotas.js';

const SLOTS = 8;

function resources(slots: number) {
  return {
    processorMillicores: slots,
    memoryBytes: slots,
    accelerators: 0,
    slots,
    connections: 0,
  };
}

function setUp() {
  const clock = ManualClock.create();
  const quotas = TeamQuotas.create();
  const scheduler = OwnerScheduler.create({
    clock,
    random: SeededRandomSource.create(1),
    shares: quotas,
    settings: {backfillPatienceMilliseconds: 100},
  });
  const teams = ['a', 'b'].map(name => ({name, quota: resources(SLOTS)}));
  quotas.setTeams(teams, 0.5);
  scheduler.setWorker({
    name: 'w',
    group: 'g',
    region: 'r',
    availabilityZone: 'z',
    services: ['s'],
    capacity: resources(SLOTS),
    state: 'active',
    weight: 1,
  });
  const submit = (team: string, key: string, kind: WorkKind = 'batch') => {
    const job: Job = {
      key,
      team,
      service: 's',
      kind,
      demand: resources(1),
      taskCount: 1,
      deadline: clock.wallNow() + 3_600_000,
      declaredRunMilliseconds: 1,
      attempt: 1,
    };
    expect(scheduler.enqueue(job).isRight()).toBe(true);
  };
  return {clock, quotas, scheduler, submit};
}

describe('TeamQuotas with OwnerScheduler', () => {
  // Guards against quotas that leave capacity idle, and against a lending team
  // that cannot reclaim its quota or reclaims more than its quota.
  it('lends unused capacity and returns it up to the quota', async () => {
    const {clock, quotas, scheduler, submit} = setUp();
    for (let n = 0; n < SLOTS; n++) submit('a', `a${n}`);
    expect(scheduler.schedule(100)).toHaveLength(SLOTS);
    expect(quotas.isBorrowing('a')).toBe(true);
    for (let n = 0; n < SLOTS; n++) submit('b', `b${n}`);
    for (let round = 0; round < 20; round++) {
      await clock.advance(150);
      for (const decision of scheduler.schedule(100)) {
        if (decision.type !== 'preempt') continue;
        expect(decision.task.key).toMatch(/^a/);
        scheduler.release(decision.task);
      }
    }
    const counts = {a: 0, b: 0};
    for (const {info} of scheduler.tasks()) {
      counts[info.team as 'a' | 'b']++;
    }
    expect(counts).toEqual({a: SLOTS / 2, b: SLOTS / 2});
  });

  // Guards against preempting tasks other than batch work when borrowed
  // capacity is reclaimed.
  it('reclaims capacity from batch work only', async () => {
    const {clock, scheduler, submit} = setUp();
    for (let n = 0; n < SLOTS; n++) submit('a', `a${n}`, 'interactive');
    scheduler.schedule(100);
    submit('b', 'b');
    for (let round = 0; round < 5; round++) {
      await clock.advance(150);
      expect(scheduler.schedule(100)).toEqual([]);
    }
  });

  // Guards against a queue order that ignores the quotas.
  it('orders teams by their share of the quota', () => {
    const {quotas} = setUp();
    quotas.add('a', resources(2));
    quotas.add('b', resources(3));
    expect(quotas.shareOf('a')).toBe(0.5);
    expect(quotas.shareOf('b')).toBe(0.75);
    expect(quotas.mayReclaim('b', resources(1))).toBe(true);
    expect(quotas.mayReclaim('b', resources(2))).toBe(false);
  });
});
