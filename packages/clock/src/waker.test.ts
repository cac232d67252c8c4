import {expect, it} from 'vitest';
import {ManualClock} from './manual_clock.js';
import {Notifier} from './notifier.js';
import {SystemClock} from './system_clock.js';
import {Waker} from './waker.js';

// Guards against sleeps that go on after their signal, or that never end because
// the signal came before them.
it.each([ManualClock.create(), SystemClock.create()])(
  'ends sleeps that began before and after it wakes (%#)',
  async clock => {
    const waker = Waker.create();
    const before = clock.sleepUntil(clock.monotonicNow() + 60_000, waker);
    waker.wake();
    await before;
    await clock.sleepUntil(clock.monotonicNow() + 60_000, waker);
    expect(waker.aborted).toBe(true);
  },
);

// Guards against waits with a deadline that a change does not end, or that leave
// their wakers behind when the deadline ends them.
it('wakes those that wait for a change until a deadline', async () => {
  const clock = ManualClock.create();
  const notifier = Notifier.create(clock);
  const ended: string[] = [];
  void notifier.wait(100).then(() => ended.push('by its deadline'));
  void notifier.wait(1_000).then(() => ended.push('by the change'));
  await clock.advance(200);
  expect(ended).toEqual(['by its deadline']);
  notifier.notify();
  await clock.advance(0);
  expect(ended).toEqual(['by its deadline', 'by the change']);
});
