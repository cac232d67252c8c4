import type {StepState} from './step_state.js';

/** Order in which waiting steps are offered free capacity. */
export interface WaitingOrder {
  sort(steps: StepState[], nowUnixMilliseconds: number): StepState[];
}
