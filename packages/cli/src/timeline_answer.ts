import {TimelineEvent} from '@cardamomfield/timeline';
import {z} from 'zod';

const events = z.array(TimelineEvent);

/** Events of one entry host, as an array or in the field `events`. */
export const TimelineAnswer = z.union([
  events,
  z.looseObject({events}).transform(answer => answer.events),
]);
export type TimelineAnswer = z.infer<typeof TimelineAnswer>;
