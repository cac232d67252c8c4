import type {ResourceAmounts} from './resource_amounts.js';
import {RESOURCE_NAMES} from './resource_names.js';
import type {StepState} from './step_state.js';
import {TeamUsage} from './team_usage.js';
import type {WorkerState} from './worker_state.js';

/**
 * What steps will take of the capacity that is being freed for them. Without it
 * each waiting step of a team would preempt runs for all that the team's limit
 * or share still allows.
 */
export class Reservations {
  private readonly usage = TeamUsage.create();
  private readonly counts = new Map<StepState, number>();

  private constructor() {}

  static create(workers: Iterable<WorkerState> = [], now = 0): Reservations {
    const reservations = new Reservations();
    reservations.update(workers, now);
    return reservations;
  }

  /** Adds the reservations of the given workers that are not known yet. */
  update(workers: Iterable<WorkerState>, now: number): void {
    for (const worker of workers) {
      const {reservedFor: step, reservedUntil} = worker;
      if (!step || reservedUntil <= now) continue;
      const count = this.counts.get(step) ?? 0;
      // Tasks that took their part of the capacity count as runs.
      if (count >= countWaiting(step)) continue;
      const {team, queue} = step.submission;
      const {milliCores, memoryMegabytes, accelerators} = step.specification;
      const isNew = this.usage.hold(worker, {
        team,
        service: queue.service,
        priority: queue.priority,
        milliCores,
        memoryMegabytes,
        accelerators,
      });
      if (isNew) this.counts.set(step, count + 1);
    }
  }

  /** What other steps of a step's team will take, on all workers. */
  byOthers(step: StepState): ResourceAmounts {
    return this.withoutOwn(step, this.usage.usedBy(step.submission.team));
  }

  /** The same in the step's service, for steps at least as urgent. */
  byOthersUpTo(step: StepState): ResourceAmounts {
    const {team, queue} = step.submission;
    const {service, priority} = queue;
    return this.withoutOwn(step, this.usage.usedUpTo(service, team, priority));
  }

  private withoutOwn(
    step: StepState,
    amounts: Readonly<ResourceAmounts>,
  ): ResourceAmounts {
    const others = {milliCores: 0, memoryMegabytes: 0, accelerators: 0};
    const own = this.counts.get(step) ?? 0;
    for (const name of RESOURCE_NAMES) {
      others[name] = amounts[name] - own * step.specification[name];
    }
    return others;
  }
}

function countWaiting({tasks}: StepState): number {
  let count = 0;
  for (const {phase} of tasks) if (phase === 'waiting') count++;
  return count;
}
