import type {StepState} from './step_state.js';
import type {TeamShares} from './team_shares.js';

/** The waiting steps of one team in one service. */
interface Lane {
  service: string;
  team: string;
  priority: number;
  steps: StepState[];
  /** Use over share when the team was served last. */
  ratio: number;
}

/**
 * Order in which capacity that no share claims is lent: by priority, then to the
 * team with the lowest use over share, then in the order of the given steps.
 */
export class LendingQueue {
  private readonly priorities: Array<{priority: number; lanes: Lane[]}>;
  /** The lane whose ratio may have changed. */
  private served: Lane | undefined;

  private constructor(
    steps: readonly StepState[],
    private readonly shares: TeamShares,
  ) {
    const byPriority = new Map<number, Map<string, Lane>>();
    for (const step of steps) {
      const {queue, team} = step.submission;
      const {priority, service} = queue;
      const lanes = byPriority.get(priority) ?? new Map<string, Lane>();
      byPriority.set(priority, lanes);
      const key = JSON.stringify([service, team]);
      const lane = lanes.get(key);
      if (lane) {
        lane.steps.push(step);
      } else {
        const ratio = shares.ratioOf(service, team, priority);
        lanes.set(key, {service, team, priority, steps: [step], ratio});
      }
    }
    this.priorities = [...byPriority]
      .sort(([a], [b]) => a - b)
      .map(([priority, lanes]) => ({
        priority,
        // The first of a lane is its last element.
        lanes: [...lanes.values()].map(lane => ({
          ...lane,
          steps: lane.steps.reverse(),
        })),
      }));
  }

  static create(steps: readonly StepState[], shares: TeamShares): LendingQueue {
    return new LendingQueue(steps, shares);
  }

  /** Removes and returns the step that comes next. */
  next(): StepState | undefined {
    if (this.served) {
      const {service, team, priority} = this.served;
      this.served.ratio = this.shares.ratioOf(service, team, priority);
      this.served = undefined;
    }
    for (const {lanes} of this.priorities) {
      let best: Lane | undefined;
      for (const lane of lanes) {
        if (lane.steps.length === 0) continue;
        if (!best || lane.ratio < best.ratio) best = lane;
      }
      if (!best) continue;
      this.served = best;
      return best.steps.pop();
    }
    return undefined;
  }

  /** Puts back the step that `next` returned last, as the next of its team. */
  putBack(step: StepState): void {
    this.served?.steps.push(step);
  }
}
