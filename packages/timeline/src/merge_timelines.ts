import {compareHybridTime} from './compare_hybrid_time.js';
import type {TimelineEvent} from './timeline_event.js';

/**
 * The events of several processes in one causal order: an effect never stands
 * before its cause. Events that happened independently are ordered by time
 * and then by process, so the result does not depend on the order of the
 * lists. An event that is in several lists appears once.
 */
export function mergeTimelines(
  timelines: ReadonlyArray<readonly TimelineEvent[]>,
): TimelineEvent[] {
  const merged = timelines.flat().sort(compareEvents);
  return merged.filter(
    (event, index) =>
      index === 0 || compareEvents(merged[index - 1]!, event) !== 0,
  );
}

/** A process records at most one event at a time value. */
function compareEvents(first: TimelineEvent, second: TimelineEvent): number {
  const byTime = compareHybridTime(first.time, second.time);
  if (byTime !== 0) return byTime;
  if (first.process === second.process) return 0;
  return first.process < second.process ? -1 : 1;
}
