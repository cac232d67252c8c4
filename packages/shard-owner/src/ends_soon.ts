import type {Run} from '@cardamomfield/cell-scheduler';

/** A run with less than this remaining stays on a draining worker. */
const ENDS_SOON_MILLISECONDS = 1_500;

/**
 * True when the remaining time, extrapolated from the run's progress, is short.
 */
export function endsSoon(run: Run, now: number): boolean {
  if (run.progressPercent <= 0) return false;
  const elapsed = now - (run.runningSince ?? now);
  const remaining =
    (elapsed * (100 - run.progressPercent)) / run.progressPercent;
  return remaining < ENDS_SOON_MILLISECONDS;
}
