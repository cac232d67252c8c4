import type {StepState} from './step_state.js';
import type {TaskState} from './task_state.js';

/** One run of a task on one incarnation of a worker, as the owner tracks it. */
export interface Run {
  step: StepState;
  task: TaskState;
  attempt: number;
  workerId: string;
  /**
   * `recording`: the intent is not durable yet; `ordering`: the start order is
   * in flight or its outcome is unknown; `running`: the run is on the worker;
   * `stopping`: a stop was decided and the worker has not reported the end yet;
   * `gone`: the run has ended or was lost, and holds no capacity.
   */
  phase: 'recording' | 'ordering' | 'running' | 'stopping' | 'gone';
  milliCores: number;
  memoryMegabytes: number;
  accelerators: number;
  ticket: string;
  /**
   * Whether a try of the start got no answer, so that it may still be carried
   * out, also by a later incarnation of the worker.
   */
  hasUnansweredStart: boolean;
  /** Whether an earlier owner started it. */
  isAdopted: boolean;
  /** Whether the only order to start it was answered. */
  isStartAnswered: boolean;
  /**
   * Monotonic deadline before which the run does not count as lost with its
   * worker's leases, since a start by an earlier owner may be carried out late.
   */
  notLostBefore: number;
  /** Monotonic time of the placement. */
  placedAt: number;
  /** Monotonic time at which the worker confirmed the run. */
  runningSince: number | undefined;
  progressPercent: number;
  /** Monotonic time of the last known checkpoint, or of the start. */
  checkpointedAt: number;
  /** Monotonic time of the last change of the progress. */
  progressedAt: number;
  load: number;
  pacePercent: number;
}
