import {z} from 'zod';
import {HybridTime} from './hybrid_time.js';

/** An event in one process. */
export const TimelineEvent = z.strictObject({
  time: HybridTime,
  process: z.string(),
  /** Type of event in dotted lower case, for example `task.started`. */
  kind: z.string(),
  /** Identifiers and values, for example `key`, `worker`, `group`, `epoch`. */
  fields: z.record(
    z.string(),
    z.union([z.string(), z.number(), z.boolean(), z.null()]),
  ),
});
export type TimelineEvent = z.infer<typeof TimelineEvent>;
