import {z} from 'zod';

/** One record of a stream. */
export const LogRecord = z.object({
  offset: z.int().nonnegative(),
  /** Wall-clock instant of the append, on the log service's clock. */
  appendedAt: z.int(),
  body: z.json(),
});
export type LogRecord = z.infer<typeof LogRecord>;
