import type {StepState} from './step_state.js';

/** The begin or the end of a step's wait for a near place. */
export interface NearPlaceEvent {
  step: StepState;
  /**
   * `near`: all tasks have places; `deadline`: the deadline has passed; `early`:
   * the wait no longer pays.
   */
  kind: 'begun' | 'near' | 'deadline' | 'early';
  rack: string;
  /** Time until the deadline of a wait that begins, or since it began. */
  milliseconds: number;
  /** Number of tasks that waited, less those whose run has ended. */
  heldCount: number;
  /** Time that each task was expected to gain when the wait began. */
  gainMilliseconds: number;
}
