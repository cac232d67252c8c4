import type {Run} from '@cardamomfield/cell-scheduler';

/** A run with less than this left is not moved off a leaving worker. */
const ENDS_SOON_MILLISECONDS = 1_500;

/** True when the run's progress lets expect its end shortly. */
export function endsSoon(run: Run, now: number): boolean {
  if (run.progressPercent <= 0) return false;
  const elapsed = now - (run.runningSince ?? now);
  const remaining =
    (elapsed * (100 - run.progressPercent)) / run.progressPercent;
  return remaining < ENDS_SOON_MILLISECONDS;
}
