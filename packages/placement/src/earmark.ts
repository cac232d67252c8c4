import type {WorkerRecord} from './worker_record.js';

/** Capacity of a worker that is set aside for one task of a blocked job. */
export interface Earmark {
  worker: WorkerRecord;
  /** Monotonic instant at which the earmark expires. */
  deadline: number;
}
