import {z} from 'zod';

/** How and when a submission ended; nothing else is kept of it afterwards. */
export const EndedSubmission = z.object({
  ending: z.enum(['completed', 'failed', 'cancelled']),
  endedAtUnixMilliseconds: z.number(),
  /**
   * True if the ID was cancelled before a submission with it was accepted. One
   * that arrives later is accepted as cancelled, and callers see none until then.
   */
  isUnsubmitted: z.boolean().optional(),
  /** Missing for submissions that belong to no team. */
  team: z.string().optional(),
  /**
   * What runs of its team may still hold on each worker: worker ID, millicores,
   * megabytes and accelerators. The records of these runs are removed with the
   * submission, and a next owner must count them. Missing once all have ended.
   */
  remaining: z
    .object({
      team: z.string(),
      service: z.string(),
      priority: z.number(),
      workers: z.array(
        z.tuple([z.string(), z.number(), z.number(), z.number()]),
      ),
    })
    .optional(),
});
export type EndedSubmission = z.infer<typeof EndedSubmission>;
