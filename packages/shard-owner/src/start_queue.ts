import type {Run} from '@cardamomfield/cell-scheduler';

/**
 * Maximum number of runs that are placed and whose start orders have not been
 * answered. More would block the event loop and fill the memory: the owner
 * would lose its shard, and the next one would do the same.
 */
const MAXIMUM_OPEN_STARTS = 2_000;

/**
 * Maximum number of start orders in flight to one worker. They share a few
 * connections, and the time limit of each order includes its wait for one.
 */
const MAXIMUM_ACTIVE_STARTS_PER_WORKER = 24;

interface StartQueueOptions {
  /** Sends the start order of a run; settles once its outcome is known. */
  start: (run: Run) => Promise<void>;
  /** Called when there is room again after there was none. */
  onRoom: () => void;
}

/** Start orders to one worker. */
interface WorkerStarts {
  waiting: Run[];
  activeCount: number;
}

/** Limits the number of starts that are recorded or ordered at a time. */
export class StartQueue {
  private readonly startsByWorker = new Map<string, WorkerStarts>();
  /** Runs from their placement until their start order is answered. */
  private openCount = 0;

  private constructor(private readonly options: StartQueueOptions) {}

  static create(options: StartQueueOptions): StartQueue {
    return new StartQueue(options);
  }

  /** Number of runs that may be placed now; a gang may exceed it. */
  get room(): number {
    return Math.max(0, MAXIMUM_OPEN_STARTS - this.openCount);
  }

  /** Counts runs that have been placed. */
  open(count: number): void {
    this.openCount += count;
  }

  /** Sends the start orders of placed runs, as many at a time as allowed. */
  send(runs: readonly Run[]): void {
    for (const run of runs) {
      const starts = this.startsByWorker.get(run.workerId) ?? {
        waiting: [],
        activeCount: 0,
      };
      this.startsByWorker.set(run.workerId, starts);
      starts.waiting.push(run);
      this.sendNext(run.workerId, starts);
    }
  }

  private sendNext(workerId: string, starts: WorkerStarts): void {
    while (starts.activeCount < MAXIMUM_ACTIVE_STARTS_PER_WORKER) {
      const run = starts.waiting.shift();
      if (!run) {
        if (starts.activeCount === 0) this.startsByWorker.delete(workerId);
        return;
      }
      starts.activeCount++;
      void this.options.start(run).finally(() => {
        starts.activeCount--;
        this.close();
        this.sendNext(workerId, starts);
      });
    }
  }

  private close(): void {
    const hadRoom = this.room > 0;
    this.openCount--;
    if (!hadRoom && this.room > 0) this.options.onRoom();
  }
}
