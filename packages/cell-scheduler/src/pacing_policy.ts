import type {Run} from './run.js';
import type {WorkerState} from './worker_state.js';

/** Above this share of the tail target, tasks beside it are slowed at once. */
const SLOW_DOWN_SHARE = 0.85;

/** Below this share of the tail target, slowed tasks get speed back. */
const SPEED_UP_SHARE = 0.6;

/** Speed given back with each look, in percent. */
const SPEED_UP_STEP_PERCENT = 20;

/** A run whose speed should change. */
interface PaceChange {
  run: Run;
  percent: number;
}

/** Slows tasks that disturb serving tasks on the same worker. */
export class PacingPolicy {
  private constructor() {}

  static create(): PacingPolicy {
    return new PacingPolicy();
  }

  /** The changes of speed that the newest tails of a worker call for. */
  decide(worker: WorkerState): PaceChange[] {
    const pressure = highestPressure(worker);
    const changes: PaceChange[] = [];
    for (const run of worker.runs.values()) {
      if (!isDisturbing(run) || run.phase !== 'running') continue;
      const percent = nextPercent(run.pacePercent, pressure);
      if (percent !== run.pacePercent) changes.push({run, percent});
    }
    return changes;
  }
}

/** Highest tail in relation to its target; 0 without serving tasks. */
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

function isDisturbing(run: Run): boolean {
  return run.step.specification.usesSpareCapacity;
}

function nextPercent(present: number, pressure: number): number {
  if (pressure > 1) return 0;
  if (pressure > SLOW_DOWN_SHARE) return Math.floor(present / 2);
  if (pressure < SPEED_UP_SHARE) {
    return Math.min(100, present + SPEED_UP_STEP_PERCENT);
  }
  return present;
}
