import type {Run} from './run.js';
import type {WorkerState} from './worker_state.js';

/**
 * Above this share of the tail latency target, best-effort tasks on the same
 * worker are slowed down immediately.
 */
const SLOW_DOWN_SHARE = 0.85;

/** Below this share of the tail latency target, slowed tasks speed up again. */
const SPEED_UP_SHARE = 0.6;

/** Speed regained with each poll, in percent. */
const SPEED_UP_STEP_PERCENT = 20;

/** A run whose speed should change. */
interface PaceChange {
  run: Run;
  percent: number;
}

/** Slows best-effort tasks that disturb serving tasks on the same worker. */
export class PacingPolicy {
  private constructor() {}

  static create(): PacingPolicy {
    return new PacingPolicy();
  }

  /** The speed changes that the latest tail latencies on a worker require. */
  decide(worker: WorkerState): PaceChange[] {
    const pressure = highestPressure(worker);
    const changes: PaceChange[] = [];
    for (const run of worker.runs.values()) {
      if (!isBestEffort(run) || run.phase !== 'running') continue;
      const percent = nextPercent(run.pacePercent, pressure);
      if (percent !== run.pacePercent) changes.push({run, percent});
    }
    return changes;
  }
}

/** Highest ratio of tail latency to its target; 0 without serving tasks. */
function highestPressure(worker: WorkerState): number {
  let highest = 0;
  for (const run of worker.runs.values()) {
    const target = run.step.specification.tailTargetMilliseconds;
    if (target > 0 && run.phase === 'running') {
      highest = Math.max(highest, run.load / target);
    }
  }
  return highest;
}

function isBestEffort(run: Run): boolean {
  return run.step.specification.usesSpareCapacity;
}

function nextPercent(current: number, pressure: number): number {
  if (pressure > 1) return 0;
  if (pressure > SLOW_DOWN_SHARE) return Math.floor(current / 2);
  if (pressure < SPEED_UP_SHARE) {
    return Math.min(100, current + SPEED_UP_STEP_PERCENT);
  }
  return current;
}
