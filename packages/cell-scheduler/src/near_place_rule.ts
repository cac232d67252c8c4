import type {NearPlaceEvent} from './near_place_event.js';
import type {StepState} from './step_state.js';
import type {TaskState} from './task_state.js';
import type {WorkerState} from './worker_state.js';

/** Decides which steps wait for a place in the rack that suits them. */
export interface NearPlaceRule {
  /** To be called before each pass, with the workers by service. */
  beginPass(
    now: number,
    nowUnixMilliseconds: number,
    workersByService: ReadonlyMap<string, WorkerState[]>,
  ): void;

  /**
   * The rack for a tightly coupled step none of whose tasks runs; empty if any
   * rack will do.
   */
  rackFor(step: StepState, candidates: readonly WorkerState[]): string;

  /**
   * Whether a task may start on the chosen worker now. Otherwise its step waits,
   * and its tasks may start on the workers of `nearOf` only.
   */
  mayPlace(
    step: StepState,
    task: TaskState,
    worker: WorkerState,
    waiting: readonly TaskState[],
    rack: string,
  ): boolean;

  /** The workers on which tasks of a waiting step may start. */
  nearOf(step: StepState, workers: WorkerState[]): WorkerState[];

  /**
   * Notes what the pass has placed of a step. Returns the number of tasks that
   * wait on purpose: they must not preempt other runs or cause advice queries.
   */
  notePlaced(step: StepState): number;

  /** The waits that the pass began and ended. */
  takeEvents(): NearPlaceEvent[];

  /** The next deadline of a wait that the pass found; Infinity without any. */
  readonly nextDeadline: number;
}
