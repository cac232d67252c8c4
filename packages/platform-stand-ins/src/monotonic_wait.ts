import type {Clock} from '@cardamomfield/clock';

/** Converts a wall-clock `waitUntil`, if any, to monotonic time. */
export function monotonicWait(
  clock: Clock,
  waitUntil: number | undefined,
): {waitUntil?: number} {
  if (waitUntil === undefined) return {};
  const remaining = waitUntil - clock.wallNow();
  return {waitUntil: clock.monotonicNow() + remaining};
}
