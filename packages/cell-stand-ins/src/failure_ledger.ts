interface FailedRun {
  attempt: number;
  /** Virtual time at which the run ended. */
  at: number;
  /** Whether an owner has acknowledged the end. */
  isAcknowledged: boolean;
}

/** Records the failed runs of all tasks, and starts beyond their attempts. */
export class FailureLedger {
  /** Failed runs by task. */
  private readonly failures = new Map<string, FailedRun[]>();
  /** Virtual times of the starts of each task. */
  private readonly starts = new Map<string, number[]>();

  private constructor() {}

  static create(): FailureLedger {
    return new FailureLedger();
  }

  recordStart(taskName: string, at: number): void {
    const starts = this.starts.get(taskName) ?? [];
    this.starts.set(taskName, starts);
    starts.push(at);
  }

  recordFailure(taskName: string, attempt: number, at: number): void {
    const failures = this.failures.get(taskName) ?? [];
    this.failures.set(taskName, failures);
    failures.push({attempt, at, isAcknowledged: false});
  }

  /** Records that an owner acknowledged the end of a failed run. */
  recordAcknowledgement(taskName: string, attempt: number): void {
    for (const failure of this.failures.get(taskName) ?? []) {
      if (failure.attempt === attempt) failure.isAcknowledged = true;
    }
  }

  /**
   * Failed runs of that task or gang of a submission that has most of them. The
   * members of a gang share the numbers of their attempts, so that a run in
   * which several of them failed counts once.
   */
  failedRuns(
    submissionId: string,
    groupOf: (taskName: string) => string,
  ): number {
    const attempts = new Map<string, Set<number>>();
    for (const [taskName, failures] of this.failures) {
      if (!taskName.startsWith(`${submissionId}.`)) continue;
      const group = groupOf(taskName);
      const numbers = attempts.get(group) ?? new Set();
      attempts.set(group, numbers);
      for (const {attempt} of failures) numbers.add(attempt);
    }
    return Math.max(0, ...[...attempts.values()].map(({size}) => size));
  }

  /** Tasks that were started after they had failed as often as they may. */
  overrunTasks(maximumAttempts: (taskName: string) => number): string[] {
    return [...this.starts.keys()].filter(taskName => {
      const acknowledged = (this.failures.get(taskName) ?? [])
        .filter(({isAcknowledged}) => isAcknowledged)
        .map(({at}) => at)
        .sort((a, b) => a - b);
      const lastAt = acknowledged[maximumAttempts(taskName) - 1];
      if (lastAt === undefined) return false;
      return this.starts.get(taskName)?.some(startedAt => startedAt > lastAt);
    });
  }
}
