import {z} from 'zod';
import {LogRecord} from './log_record.js';

/** Part of a stream, ordered by offset. */
export const LogPage = z.object({
  records: z.array(LogRecord),
  /** Offset of the oldest record still kept. */
  head: z.int().nonnegative(),
  /** Offset that the next append will get, at the time of the read. */
  tail: z.int().nonnegative(),
});
export type LogPage = z.infer<typeof LogPage>;
