import {compareHybridTime} from './compare_hybrid_time.js';
import type {TimelineEvent} from './timeline_event.js';

/**
 * Merges the events of several processes in causal order: an effect never
 * precedes its cause. Independent events are ordered by time and then by
 * process, so the result does not depend on the order of the lists. An event
 * that is in several lists appears once.
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

/**
 * Returns 0 only for copies of one event, because a process records at most one
 * event per time value.
 */
function compareEvents(first: TimelineEvent, second: TimelineEvent): number {
  const byTime = compareHybridTime(first.time, second.time);
  if (byTime !== 0) return byTime;
  if (first.process === second.process) return 0;
  return first.process < second.process ? -1 : 1;
}
