import {Name} from '@cardamomfield/types';
import {z} from 'zod';

/** Latest claim of one group that a process has seen. */
export const KnownClaim = z.strictObject({
  group: Name,
  /** Offset of the claim record. */
  epoch: z.int().nonnegative(),
  process: Name,
  incarnation: z.string(),
  /** Second host in the group's ranking when the claim was made. */
  deputy: Name.nullable(),
});
export type KnownClaim = z.infer<typeof KnownClaim>;
