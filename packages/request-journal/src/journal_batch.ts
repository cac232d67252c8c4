import {compactJson} from '@cardamomfield/log-follower';
import {FinalAnswer, RequestKey} from '@cardamomfield/types';
import {z} from 'zod';

/**
 * Key, hash of the body and deadline relative to the base of the batch. The
 * coordinator and its incarnation follow where they differ from the batch's.
 */
const Intent = z
  .tuple([RequestKey, z.string(), z.int()])
  .or(z.tuple([RequestKey, z.string(), z.int(), z.string(), z.string()]));

/** Offset and index of the intent, and the answer to its request. */
const Outcome = z.tuple([
  z.int().nonnegative(),
  z.int().nonnegative(),
  FinalAnswer,
]);

const Batch = z.object({
  /** Coordinator and incarnation of most intents. */
  by: z.tuple([z.string(), z.string()]),
  /** Wall-clock instant to which deadlines are relative. */
  at: z.int(),
  items: z.array(Intent.or(Outcome)),
});

type Batch = z.infer<typeof Batch>;

/** Batches shorter than this do not gain from compression. */
const MINIMUM_COMPRESSED_LENGTH = 200;

/** The body of one record of the journal. */
export const journalBatch = {
  encode(batch: Batch): unknown {
    if (JSON.stringify(batch).length < MINIMUM_COMPRESSED_LENGTH) return batch;
    return compactJson.encode(batch);
  },

  /** The batch, or undefined when the body is not one. */
  decode(body: unknown): Batch | undefined {
    const value = typeof body === 'string' ? compactJson.decode(body) : body;
    return Batch.safeParse(value).data;
  },
};
