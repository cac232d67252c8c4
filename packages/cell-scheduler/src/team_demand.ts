import type {StepSpecification, Team} from '@cardamomfield/cell-model';

/** What a team has running in the whole cell, and its largest waiting task. */
export class TeamDemand {
  private readonly used = [0, 0, 0];
  private readonly largest = [0, 0, 0];

  private constructor() {}

  static create(): TeamDemand {
    return new TeamDemand();
  }

  addRunning(step: StepSpecification): void {
    for (const [index, need] of needsOf(step).entries()) {
      this.used[index]! += need;
    }
  }

  addWaiting(step: StepSpecification): void {
    for (const [index, need] of needsOf(step).entries()) {
      this.largest[index] = Math.max(this.largest[index]!, need);
    }
  }

  /**
   * True when a waiting task would exceed one of the limits, of which 0 means
   * none. Under half of a limit one task may exceed it.
   */
  exceeds({milliCores, memoryMegabytes, accelerators}: Team['limit']): boolean {
    return [milliCores, memoryMegabytes, accelerators].some(
      (limit, index) =>
        limit > 0 &&
        this.used[index]! * 2 >= limit &&
        this.largest[index]! > 0 &&
        this.used[index]! + this.largest[index]! > limit,
    );
  }
}

function needsOf(step: StepSpecification): readonly number[] {
  return [step.milliCores, step.memoryMegabytes, step.accelerators];
}
