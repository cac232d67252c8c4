import {compactJson} from '@cardamomfield/log-follower';
import {RequestKey} from '@cardamomfield/types';
import {z} from 'zod';

/** Key, hash of the body, and deadline relative to the batch's `at`. */
const Intent = z.tuple([RequestKey, z.string(), z.int()]);

/** An intent whose coordinator or incarnation differs from the batch's. */
const ForeignIntent = z.tuple([
  RequestKey,
  z.string(),
  z.int(),
  z.string(),
  z.string(),
]);

/** Log position of the intent, and the answer without its key. */
const Outcome = z.tuple([
  z.int().nonnegative(),
  z.int().nonnegative(),
  z.record(z.string(), z.unknown()),
]);

const Envelope = z.object({
  /** Default coordinator and incarnation of the intents. */
  by: z.tuple([z.string(), z.string()]),
  /** Wall-clock instant to which deadlines are relative. */
  at: z.int(),
  items: z.array(z.array(z.unknown())),
});

type Item = z.infer<typeof Intent | typeof ForeignIntent | typeof Outcome>;
type Batch = Omit<z.infer<typeof Envelope>, 'items'> & {items: Item[]};

/** Length in characters below which compression has no benefit. */
const MINIMUM_COMPRESSED_LENGTH = 200;

/** The body of one record of the journal. */
export const journalBatch = {
  encode(batch: z.infer<typeof Envelope>): unknown {
    if (JSON.stringify(batch).length < MINIMUM_COMPRESSED_LENGTH) return batch;
    return compactJson.encode(batch);
  },

  /** The batch, or undefined when the body is not one. */
  decode(body: unknown): Batch | undefined {
    const value = typeof body === 'string' ? compactJson.decode(body) : body;
    const envelope = Envelope.safeParse(value).data;
    if (!envelope) return undefined;
    const items: Item[] = [];
    for (const candidate of envelope.items) {
      // A union schema would try each alternative on every item and build an
      // error for each mismatch.
      const item = schemaOf(candidate).safeParse(candidate).data;
      if (!item) return undefined;
      items.push(item);
    }
    return {...envelope, items};
  },
};

function schemaOf(item: readonly unknown[]): z.ZodType<Item> {
  if (typeof item[0] === 'number') return Outcome;
  return item.length === 3 ? Intent : ForeignIntent;
}
