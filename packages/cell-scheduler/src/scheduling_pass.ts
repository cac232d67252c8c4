import type {AdviceWish} from './advice_wish.js';
import type {Placement} from './placement.js';

/** What one pass over the waiting steps decided. */
export interface SchedulingPass {
  placements: Placement[];
  adviceWishes: AdviceWish[];
}
