import type {RunEnd} from './run_end.js';
import type {RunningTask} from './running_task.js';

/** A worker's answer to a poll. */
export interface WorkerReport {
  clock: number;
  bornAtUnixMilliseconds: number;
  running: RunningTask[];
  ends: RunEnd[];
  /** Whether the worker has further ends that did not fit into this answer. */
  hasMoreEnds: boolean;
}
