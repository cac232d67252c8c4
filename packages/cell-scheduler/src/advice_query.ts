import type {StepState} from './step_state.js';

/** A query to the advice service that is worth sending now. */
export interface AdviceQuery {
  step: StepState;
  workerIds: string[];
}
