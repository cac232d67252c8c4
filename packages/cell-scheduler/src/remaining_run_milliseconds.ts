import type {Run} from './run.js';

/** Progress from which the remaining time is computed, in percent. */
const MINIMUM_PROGRESS_PERCENT = 10;

/** Run times exceed their estimates by up to this share. */
const ESTIMATE_ERROR = 0.5;

/** Remaining share of the time so far, for a run that exceeds even that. */
const OVERDUE_SHARE = 0.25;

/** Longest time that a worker takes to stop a run. */
const STOP_MILLISECONDS = 900;

/**
 * Expected time until a run ends, by its progress or else by the expected length
 * of the whole run. Run times are taken as evenly distributed around the
 * expectation, so that one that has passed it has some time left.
 */
export function remainingRunMilliseconds(
  run: Run,
  expectedMilliseconds: number,
  now: number,
): number {
  if (run.phase === 'stopping') return STOP_MILLISECONDS;
  const {isService} = run.step.specification;
  if (isService || expectedMilliseconds <= 0) return Infinity;
  // Runs of an earlier owner have no known start; this one counts from here.
  const isStartKnown =
    run.runningSince !== undefined && Number.isFinite(run.runningSince);
  const since = isStartKnown ? run.runningSince! : run.placedAt;
  const elapsed = Math.max(0, now - since);
  const overdue = elapsed * OVERDUE_SHARE;
  if (isStartKnown && run.progressPercent >= MINIMUM_PROGRESS_PERCENT) {
    const total = ((run.progressedAt - since) * 100) / run.progressPercent;
    return total > elapsed ? total - elapsed : overdue;
  }
  const longest = expectedMilliseconds * (1 + ESTIMATE_ERROR);
  if (elapsed >= longest) return overdue;
  return Math.max(expectedMilliseconds - elapsed, (longest - elapsed) / 2);
}
