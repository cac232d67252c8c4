import {z} from 'zod';

/** Reason for the refusal of a change; the same in every process. */
export const Refusal = z.strictObject({
  /**
   * `malformed`, `stale-base`, `base-too-old`, `broken-reference` and
   * `not-found` come from the fold. `unavailable` comes from the publisher and
   * means that nothing was appended to the log.
   */
  code: z.enum([
    'malformed',
    'stale-base',
    'base-too-old',
    'broken-reference',
    'not-found',
    'unavailable',
  ]),
  message: z.string(),
  /** With `stale-base`: the record that changed the item after the base. */
  winner: z
    .strictObject({
      offset: z.int().nonnegative(),
      editor: z.string(),
      item: z.string(),
    })
    .optional(),
});
export type Refusal = z.infer<typeof Refusal>;
