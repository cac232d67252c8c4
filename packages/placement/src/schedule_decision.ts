import type {TaskIdentity} from '@cardamomfield/types';
import type {Job} from './job.js';

/** A decision that the owner of the worker group must carry out. */
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
      /** Key of the request that needs the capacity. */
      onBehalfOf: string;
    }
  | {
      /** Report that the deadline passed before these tasks were placed. */
      type: 'expire';
      key: string;
      attempt: number;
      taskIndexes: number[];
      job: Job;
    };
