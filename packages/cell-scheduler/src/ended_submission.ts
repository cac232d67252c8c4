import {z} from 'zod';

/** How and when a submission ended; nothing else is kept of it afterwards. */
export const EndedSubmission = z.object({
  ending: z.enum(['completed', 'failed', 'cancelled']),
  endedAtUnixMilliseconds: z.number(),
});
export type EndedSubmission = z.infer<typeof EndedSubmission>;
