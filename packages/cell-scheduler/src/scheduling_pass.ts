import type {AdviceQuery} from './advice_query.js';
import type {LimitHold} from './limit_hold.js';
import type {NearPlaceEvent} from './near_place_event.js';
import type {Placement} from './placement.js';
import type {Run} from './run.js';
import type {StepState} from './step_state.js';

/** Decisions of one pass over the waiting steps. */
export interface SchedulingPass {
  placements: Placement[];
  adviceQueries: AdviceQuery[];
  /** Runs to stop so that tasks with precedence over them fit. */
  preemptions: Run[];
  /** Limits that hold back waiting tasks, by team. */
  limitHolds: Map<string, LimitHold>;
  /** Waits for near places that began or ended. */
  nearPlaceEvents: NearPlaceEvent[];
  /** Monotonic time at which the next wait ends; Infinity without any. */
  nextNearPlaceDeadline: number;
  /** Steps that raised an unexpected error; they are set aside. */
  faults: Array<{step: StepState; cause: unknown}>;
}
