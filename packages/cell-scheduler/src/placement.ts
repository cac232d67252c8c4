import type {StepState} from './step_state.js';
import type {TaskState} from './task_state.js';
import type {WorkerState} from './worker_state.js';

/** A decision to run a task on a worker. */
export interface Placement {
  step: StepState;
  task: TaskState;
  worker: WorkerState;
  /** Ticket of the advice service; empty when the queue needs no advice. */
  ticket: string;
}
