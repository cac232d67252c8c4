import type {DesiredState} from './desired_state.js';

/** Follows the operators' desired state. */
export interface DesiredStateSource {
  /** Calls back with each newer version until the signal aborts. */
  follow(
    onChange: (state: DesiredState) => void,
    signal: AbortSignal,
  ): Promise<void>;
}
