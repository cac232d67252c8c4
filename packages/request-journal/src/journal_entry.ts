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
  /** Offset of the batch with the intent, and the intent's place in it. */
  offset: z.int().nonnegative(),
  index: z.int().nonnegative(),
  /** Instant at which the log recorded the intent. */
  recordedAt: z.int(),
  answer: FinalAnswer.optional(),
});
export type JournalEntry = z.infer<typeof JournalEntry>;
