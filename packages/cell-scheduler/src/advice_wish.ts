import type {StepState} from './step_state.js';

/** A query to the advice service that is worth sending now. */
export interface AdviceWish {
  step: StepState;
  workerIds: string[];
}
