import {z} from 'zod';

/** How a submission ended; all that is kept of it from then on. */
export const EndedSubmission = z.object({
  ending: z.enum(['completed', 'failed', 'cancelled']),
  endedAtUnixMilliseconds: z.number(),
});
export type EndedSubmission = z.infer<typeof EndedSubmission>;
