import type {AdviceWish} from './advice_wish.js';
import type {Placement} from './placement.js';
import type {Run} from './run.js';
import type {StepState} from './step_state.js';

/** What one pass over the waiting steps decided. */
export interface SchedulingPass {
  placements: Placement[];
  adviceWishes: AdviceWish[];
  /** Runs to stop, so that tasks that come before them fit. */
  preemptions: Run[];
  /** Steps whose turn ended with an unexpected error; they are set aside. */
  faults: Array<{step: StepState; cause: unknown}>;
}
