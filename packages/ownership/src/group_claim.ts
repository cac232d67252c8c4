import {KnownClaim} from '@cardamomfield/peer-protocol';
import {Name} from '@cardamomfield/types';
import {z} from 'zod';

/** The latest valid claim of a group, as the log shows it. */
export const GroupClaim = KnownClaim.extend({
  /**
   * Whether the group was unclaimed or its epoch was released, so that no
   * previous owner can still hold authority.
   */
  isImmediate: z.boolean(),
  /** Set by a release; `successor` is null if none was named. */
  released: z.strictObject({successor: Name.nullable()}).nullable(),
});
export type GroupClaim = z.infer<typeof GroupClaim>;
