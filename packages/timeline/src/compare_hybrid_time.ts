import type {HybridTime} from './hybrid_time.js';

/** Negative when the first is earlier, positive when it is later. */
export function compareHybridTime(
  first: HybridTime,
  second: HybridTime,
): number {
  return first.wall - second.wall || first.counter - second.counter;
}
