import type {
  Job,
  ScheduleDecision,
  WorkerDefinition,
} from '@cardamomfield/placement';
import type {ResourceVector, TaskIdentity} from '@cardamomfield/types';

/** Common interface of the measured schedulers. */
export interface Scheduler {
  setWorker(definition: WorkerDefinition): void;
  enqueue(job: Job): unknown;
  schedule(limit: number): ScheduleDecision[];
  release(task: TaskIdentity): unknown;
  applyUsage(task: TaskIdentity, usage: ResourceVector): unknown;
}
