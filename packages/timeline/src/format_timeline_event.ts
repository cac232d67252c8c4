import type {TimelineEvent} from './timeline_event.js';

/** Formats the event as one human-readable line. */
export function formatTimelineEvent(event: TimelineEvent): string {
  const {wall, counter} = event.time;
  const time = `${new Date(wall).toISOString()}+${counter}`;
  const fields = Object.entries(event.fields).map(
    ([name, value]) => ` ${name}=${value}`,
  );
  return `${time} ${event.process} ${event.kind}${fields.join('')}`;
}
