import type {TimelineEvent} from './timeline_event.js';
import type {TimelineFilter} from './timeline_filter.js';

/** Returns the events that match the whole filter, in the same order. */
export function filterTimeline(
  events: readonly TimelineEvent[],
  filter: TimelineFilter,
): TimelineEvent[] {
  return events.filter(event => matches(event, filter));
}

function matches(event: TimelineEvent, filter: TimelineFilter): boolean {
  const {request, worker, process, group, kind} = filter;
  const {fields} = event;
  return (
    (request === undefined || fields['key'] === request) &&
    (worker === undefined || fields['worker'] === worker) &&
    (process === undefined || event.process === process) &&
    (group === undefined || fields['group'] === group) &&
    (kind === undefined || isOfKind(event.kind, kind))
  );
}

function isOfKind(kind: string, wanted: string): boolean {
  return kind === wanted || kind.startsWith(`${wanted}.`);
}
