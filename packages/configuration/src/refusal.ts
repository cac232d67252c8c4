import {z} from 'zod';

/** Why a change is refused, the same in every process. */
export const Refusal = z.strictObject({
  /**
   * `malformed`, `stale-base`, `base-too-old`, `broken-reference` and
   * `not-found` come from the fold, `unavailable` from the publisher: nothing
   * was appended.
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
  /** With `stale-base`: the record that came first. */
  winner: z
    .strictObject({
      offset: z.int().nonnegative(),
      editor: z.string(),
      item: z.string(),
    })
    .optional(),
});
export type Refusal = z.infer<typeof Refusal>;
