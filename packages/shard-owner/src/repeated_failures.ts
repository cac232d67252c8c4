import type {Run, WorkerState} from '@cardamomfield/cell-scheduler';
import type {Logger} from '@cardamomfield/logger';

/** Consecutive failed runs after which a worker gets no new runs. */
const FAILURES_BEFORE_AVOIDING = 3;

/** How long such a worker gets no new runs. */
const AVOID_MILLISECONDS = 3_000;

/** Excludes workers from new runs on which several runs failed in series. */
export class RepeatedFailures {
  private readonly failuresByWorker = new Map<string, number>();

  private constructor(
    private readonly workers: ReadonlyMap<string, WorkerState>,
    private readonly logger: Logger,
  ) {}

  static create(
    workers: ReadonlyMap<string, WorkerState>,
    logger: Logger,
  ): RepeatedFailures {
    return new RepeatedFailures(workers, logger);
  }

  /** Records a run that its worker reported as done or failed. */
  noteEnd({workerId}: Run, kind: 'done' | 'failed', now: number): void {
    if (kind === 'done') {
      this.failuresByWorker.delete(workerId);
      return;
    }
    const failures = (this.failuresByWorker.get(workerId) ?? 0) + 1;
    this.failuresByWorker.set(workerId, failures);
    const worker = this.workers.get(workerId);
    if (failures < FAILURES_BEFORE_AVOIDING || !worker) return;
    worker.avoidUntil = now + AVOID_MILLISECONDS;
    this.logger.warn('worker excluded from new runs after repeated failures', {
      worker: workerId,
      failures,
    });
  }
}
