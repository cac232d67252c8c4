import {KnownClaim} from '@cardamomfield/peer-protocol';
import {Name} from '@cardamomfield/types';
import {z} from 'zod';

/** The latest valid claim of a group, as the log shows it. */
export const GroupClaim = KnownClaim.extend({
  /** Whether it replaced no epoch or a released one, so that nobody is left. */
  isImmediate: z.boolean(),
  /** Set by a release; the successor may be left open. */
  released: z.strictObject({successor: Name.nullable()}).nullable(),
});
export type GroupClaim = z.infer<typeof GroupClaim>;
