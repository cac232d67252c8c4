import type {ResourceAmounts} from './resource_amounts.js';

/** Resources that count as used by a team. */
export interface TeamHold extends ResourceAmounts {
  team: string;
  service: string;
  /** Priority of the queue; 0 is the most urgent. */
  priority: number;
}
