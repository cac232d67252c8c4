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
  /** The declared amounts, raised where a usage report exceeds them. */
  reserved: Vector;
  /** Monotonic instant of the reservation. */
  placedAt: number;
  /** The task was chosen for preemption and is expected to end soon. */
  isPreempting: boolean;
  /** The task is preempted because its team borrowed the capacity. */
  isReclaimed: boolean;
}
