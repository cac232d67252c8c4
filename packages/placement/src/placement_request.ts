import type {JobSpread} from './job_spread.js';
import type {Vector} from './vector.js';
import type {WorkerRecord} from './worker_record.js';

/** What a policy must know to choose a worker for one task. */
export interface PlacementRequest {
  demand: Vector;
  /** Whether the worker may be chosen at all. */
  accept: (worker: WorkerRecord) => boolean;
  /** Where other tasks of the same job run. */
  spread: JobSpread;
}
