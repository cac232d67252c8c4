import {z} from 'zod';
import {HybridTime} from './hybrid_time.js';

/** One thing that happened in one process. */
export const TimelineEvent = z.strictObject({
  time: HybridTime,
  process: z.string(),
  /** What happened, in dotted lower case, for example `task.started`. */
  kind: z.string(),
  /** Identifiers and figures, for example `key`, `worker`, `group`, `epoch`. */
  fields: z.record(
    z.string(),
    z.union([z.string(), z.number(), z.boolean(), z.null()]),
  ),
});
export type TimelineEvent = z.infer<typeof TimelineEvent>;
