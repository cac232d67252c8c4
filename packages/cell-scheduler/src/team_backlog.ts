/** Work of one team that waits for, or runs on, the workers of one service. */
export class TeamBacklog {
  /** Millicores of tasks that have been ready for long and found no worker. */
  overdueMilliCores = 0;
  /** Millicores of running tasks that will end. */
  runningMilliCores = 0;
  /** True when the team's limit keeps its tasks waiting. */
  isAtLimit = false;
  private readonly workByPriority = new Map<number, number>();

  private constructor() {}

  static create(): TeamBacklog {
    return new TeamBacklog();
  }

  /** Adds waiting work, in millicores times milliseconds. */
  add(priority: number, work: number): void {
    const before = this.workByPriority.get(priority) ?? 0;
    this.workByPriority.set(priority, before + work);
  }

  /** Waiting work that is served before a new submission of the priority. */
  workAhead(priority: number): number {
    let sum = 0;
    for (const [other, work] of this.workByPriority) {
      if (other <= priority) sum += work;
    }
    return sum;
  }
}
