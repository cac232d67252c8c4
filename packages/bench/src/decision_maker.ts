import type {
  Job,
  ScheduleDecision,
  WorkerDefinition,
} from '@cardamomfield/placement';
import type {ResourceVector, TaskIdentity} from '@cardamomfield/types';

/** What the measured schedulers have in common. */
export interface DecisionMaker {
  setWorker(definition: WorkerDefinition): void;
  enqueue(job: Job): unknown;
  schedule(limit: number): ScheduleDecision[];
  release(task: TaskIdentity): unknown;
  correct(task: TaskIdentity, usage: ResourceVector): unknown;
}
