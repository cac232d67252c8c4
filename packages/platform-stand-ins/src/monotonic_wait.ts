import type {Clock} from '@cardamomfield/clock';

/** The monotonic instant of a wall-clock `waitUntil`, if there is one. */
export function monotonicWait(
  clock: Clock,
  waitUntil: number | undefined,
): {waitUntil?: number} {
  if (waitUntil === undefined) return {};
  const remaining = waitUntil - clock.wallNow();
  return {waitUntil: clock.monotonicNow() + remaining};
}
