import type {TaskIdentity} from '@cardamomfield/types';
import type {TaskInfo} from './task_info.js';
import type {Vector} from './vector.js';
import type {WorkerRecord} from './worker_record.js';

/** A task that holds a reservation. */
export interface TaskRecord {
  identity: TaskIdentity;
  worker: WorkerRecord;
  info: TaskInfo;
  declared: Vector;
  /** The declaration, corrected upward by usage reports. */
  reserved: Vector;
  /** Monotonic instant of the reservation. */
  placedAt: number;
  /** It was named in a preemption and is expected to end soon. */
  isPreempting: boolean;
  /** It ends because its team borrowed what it uses. */
  isReturning: boolean;
}
