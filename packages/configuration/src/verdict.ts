import {z} from 'zod';
import {Refusal} from './refusal.js';

const source = {
  offset: z.int().nonnegative(),
  /** Absent when the record could not be parsed. */
  editor: z.string().optional(),
  publication: z.string().optional(),
};

/** Decision of the fold on one record. */
export const Verdict = z.discriminatedUnion('outcome', [
  z.strictObject({outcome: z.literal('accepted'), ...source}),
  z.strictObject({
    outcome: z.literal('refused'),
    ...source,
    reason: Refusal,
  }),
]);
export type Verdict = z.infer<typeof Verdict>;
