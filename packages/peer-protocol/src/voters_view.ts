import {Name} from '@cardamomfield/types';
import {z} from 'zod';

/** Voters as of one record of the stream `ownership`. */
export const VotersView = z.strictObject({
  /** Offset of the last voters record of any kind; -1 before the first. */
  offset: z.int().min(-1),
  /** Offset of the last record that confirmed a set; -1 before the first. */
  version: z.int().min(-1),
  /** The confirmed set. */
  members: z.array(Name),
  /** The proposed set while a proposal is pending. */
  pending: z.array(Name).nullable(),
});
export type VotersView = z.infer<typeof VotersView>;
