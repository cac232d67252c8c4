import type {JobSpread} from './job_spread.js';
import type {Vector} from './vector.js';
import type {WorkerRecord} from './worker_record.js';

/** Input of a policy that chooses a worker for one task. */
export interface PlacementRequest {
  demand: Vector;
  /** Whether the worker may be chosen at all. */
  accept: (worker: WorkerRecord) => boolean;
  /** Counts of the other tasks of the same job. */
  spread: JobSpread;
}
