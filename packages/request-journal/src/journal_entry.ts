import {FinalAnswer, RequestKey} from '@cardamomfield/types';
import {z} from 'zod';

/** The first intent for a key, and its outcome once there is one. */
export const JournalEntry = z.object({
  key: RequestKey,
  bodyHash: z.string(),
  /** Entry host that coordinates the request, and its incarnation. */
  coordinator: z.string(),
  incarnation: z.string(),
  /** Wall-clock deadline of the request. */
  deadline: z.int(),
  /** Log offset of the batch with the intent, and its index in the batch. */
  offset: z.int().nonnegative(),
  index: z.int().nonnegative(),
  /** Instant of the intent's record, on the clock of the log. */
  recordedAt: z.int(),
  answer: FinalAnswer.optional(),
});
export type JournalEntry = z.infer<typeof JournalEntry>;
