import {FailureLedger} from './failure_ledger.js';

/**
 * Tasks may start for this time after the cancellation of their submission was
 * acknowledged (`cancel_ms` of the platform).
 */
const CANCEL_MILLISECONDS = 3_000;

/** Records the runs of all workers and every violated guarantee. */
export class RunLedger {
  readonly violations: string[] = [];
  readonly failures = FailureLedger.create();
  /** Called with each start, once it is recorded. */
  onStart: ((taskName: string, sentAt: number) => void) | undefined;
  /** Workers on which each task currently runs. */
  private readonly running = new Map<string, Set<string>>();
  /** Tasks whose successful end was acknowledged by an owner. */
  private readonly done = new Set<string>();
  /** Checks of whether a task runs on a worker right now, by worker. */
  private readonly checks = new Map<string, (taskName: string) => boolean>();

  /** Virtual time of the first acknowledged cancellation, by submission. */
  private readonly cancelAcknowledgedAt = new Map<string, number>();

  private constructor() {}

  static create(): RunLedger {
    return new RunLedger();
  }

  /**
   * Adds a worker that records the ends of its runs late. A start is checked
   * against the runs that the worker then still has.
   */
  addWorker(
    workerName: string,
    isRunning: (taskName: string) => boolean,
  ): void {
    this.checks.set(workerName, isRunning);
  }

  /**
   * Records that a worker started a run on an order that left its owner at
   * `sentAt`. Time limits count from there: an owner cannot take back an order
   * that is carried out late, it can only stop the run.
   */
  recordStart(taskName: string, workerName: string, sentAt: number): void {
    const sinceCancel = sentAt - this.cancelledAt(taskName);
    if (sinceCancel > CANCEL_MILLISECONDS) {
      this.violations.push(
        `${taskName} started on ${workerName}, ordered ${Math.round(sinceCancel)} ms after its cancellation was acknowledged`,
      );
    }
    const others = this.running.get(taskName) ?? new Set<string>();
    const current = [...others].filter(
      name => this.checks.get(name)?.(taskName) ?? true,
    );
    if (current.length > 0) {
      this.violations.push(
        `${taskName} started on ${workerName} while it runs on ${current.join()}`,
      );
    }
    if (this.done.has(taskName)) {
      this.violations.push(`${taskName} started after it was done`);
    }
    others.add(workerName);
    this.running.set(taskName, others);
    this.onStart?.(taskName, sentAt);
  }

  /** Names of the tasks at work, once for each worker that runs them. */
  *runningCopies(): Iterable<string> {
    for (const [taskName, workers] of this.running) {
      for (const worker of workers) {
        if (this.checks.get(worker)?.(taskName) ?? true) yield taskName;
      }
    }
  }

  recordEnd(taskName: string, workerName: string): void {
    this.running.get(taskName)?.delete(workerName);
  }

  /** Whether the task runs on any worker. */
  isRunning(taskName: string): boolean {
    return (this.running.get(taskName)?.size ?? 0) > 0;
  }

  runningTasks(): string[] {
    return [...this.running.keys()].filter(name => this.isRunning(name));
  }

  /** Records that a caller learned that a submission never runs any more. */
  recordCancelAcknowledgement(submissionId: string, now: number): void {
    if (this.isCancelAcknowledged(submissionId)) return;
    this.cancelAcknowledgedAt.set(submissionId, now);
  }

  isCancelAcknowledged(submissionId: string): boolean {
    return this.cancelAcknowledgedAt.has(submissionId);
  }

  /** Running tasks whose submission was acknowledged as cancelled. */
  runningCancelledTasks(): string[] {
    return this.runningTasks().filter(
      name => this.cancelledAt(name) < Infinity,
    );
  }

  private cancelledAt(taskName: string): number {
    const [submissionId = ''] = taskName.split('.');
    return this.cancelAcknowledgedAt.get(submissionId) ?? Infinity;
  }

  /** Records that an owner acknowledged the successful end of a task. */
  recordDone(taskName: string): void {
    this.done.add(taskName);
  }

  recordOverCommitment(
    workerName: string,
    used: number,
    capacity: number,
  ): void {
    this.violations.push(
      `${workerName} is over capacity: runs use ${used} of ${capacity} millicores`,
    );
  }
}
