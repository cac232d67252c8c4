import {describe, expect, it} from 'vitest';
import {ManualClock} from './manual_clock.js';

describe('ManualClock', () => {
  // Guards against sleepers that wake out of order, which would make every
  // test with a manual clock depend on the order of registration.
  it('wakes sleepers in the order of their deadlines', async () => {
    const clock = ManualClock.create();
    const woken: number[] = [];
    void clock.sleepUntil(20).then(() => woken.push(clock.monotonicNow()));
    void clock.sleepUntil(10).then(() => woken.push(clock.monotonicNow()));
    await clock.advance(30);
    expect(woken).toEqual([10, 20]);
    expect(clock.monotonicNow()).toBe(30);
  });

  // Guards against a sleep that continues after its signal aborts and keeps a
  // task from ending.
  it('wakes a sleeper when its signal aborts', async () => {
    const clock = ManualClock.create();
    const controller = new AbortController();
    const sleep = clock.sleepUntil(1_000, controller.signal);
    controller.abort();
    await sleep;
    expect(clock.nextDeadline()).toBeUndefined();
  });
});
