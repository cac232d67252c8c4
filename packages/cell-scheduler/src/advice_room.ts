import type {StepState} from './step_state.js';

/** How many queries to the advice service can be sent now. */
export interface AdviceRoom {
  countFor(step: StepState): number;
}
