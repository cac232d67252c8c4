import type {TaskIdentity} from '@cardamomfield/types';
import type {Job} from './job.js';

/** One step that the owner of the group must carry out. */
export type ScheduleDecision =
  | {
      /** Start the task; its reservation is already made. */
      type: 'place';
      task: TaskIdentity;
      worker: string;
      group: string;
      job: Job;
    }
  | {
      /** Checkpoint or stop the task, then release it. */
      type: 'preempt';
      task: TaskIdentity;
      worker: string;
      group: string;
      /** Key of the urgent request that needs the capacity. */
      onBehalfOf: string;
    }
  | {
      /** The deadline passed before these tasks found a worker. */
      type: 'expire';
      key: string;
      attempt: number;
      taskIndexes: number[];
      job: Job;
    };
