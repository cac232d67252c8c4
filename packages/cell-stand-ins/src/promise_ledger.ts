/** What the workers did, and which promises that broke. */
export class PromiseLedger {
  readonly broken: string[] = [];
  /** Workers on which a task runs now. */
  private readonly running = new Map<string, Set<string>>();
  /** Tasks with an acknowledged end as done. */
  private readonly done = new Set<string>();

  private constructor() {}

  static create(): PromiseLedger {
    return new PromiseLedger();
  }

  /** A worker began a run. */
  started(taskName: string, workerName: string): void {
    const others = this.running.get(taskName) ?? new Set<string>();
    if (others.size > 0) {
      this.broken.push(
        `${taskName} started on ${workerName} while it runs on ${[...others].join()}`,
      );
    }
    if (this.done.has(taskName)) {
      this.broken.push(`${taskName} started after it was done`);
    }
    others.add(workerName);
    this.running.set(taskName, others);
  }

  ended(taskName: string, workerName: string): void {
    this.running.get(taskName)?.delete(workerName);
  }

  /** True while the task runs on any worker. */
  isRunning(taskName: string): boolean {
    return (this.running.get(taskName)?.size ?? 0) > 0;
  }

  /** The tasks that run now. */
  runningTasks(): string[] {
    return [...this.running.keys()].filter(name => this.isRunning(name));
  }

  /** The owner took note of an end as done. */
  acknowledgedDone(taskName: string): void {
    this.done.add(taskName);
  }

  overCommitted(workerName: string, used: number, capacity: number): void {
    this.broken.push(`${workerName} runs ${used} of ${capacity} millicores`);
  }
}
