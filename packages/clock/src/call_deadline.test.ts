import {expect, it} from 'vitest';
import {CallDeadline} from './call_deadline.js';
import type {Clock} from './clock.js';

const TIMEOUT_MILLISECONDS = 300;

/** Whether a call's deadline has passed after each clock moved by so much. */
function hasPassed(monotonicChange: number, wallChange: number): boolean {
  let monotonic = 1_000;
  let wall = 1_700_000_000_000;
  const clock: Clock = {
    monotonicNow: () => monotonic,
    wallNow: () => wall,
    sleepUntil: () => Promise.resolve(),
  };
  const deadline = CallDeadline.create(clock, TIMEOUT_MILLISECONDS);
  monotonic += monotonicChange;
  wall += wallChange;
  return deadline.hasPassed;
}

// Guards against a deadline that a suspension of the machine or a step of the
// wall clock extends.
it('passes as soon as either clock has reached it', () => {
  expect(hasPassed(300, 300)).toBe(false);
  expect(hasPassed(301, 301)).toBe(true);
  expect(hasPassed(10, 14_000)).toBe(true);
  expect(hasPassed(400, -5_000)).toBe(true);
});
