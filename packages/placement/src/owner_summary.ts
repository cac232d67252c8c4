import {Name, ResourceVector, WorkKind} from '@cardamomfield/types';
import {z} from 'zod';

/**
 * Free capacity and expected waits of one owner, for entry hosts that choose
 * an owner.
 */
export const OwnerSummary = z.strictObject({
  groups: z.array(
    z.strictObject({
      name: Name,
      /** Sum of the available amounts of its workers. */
      free: ResourceVector,
      /** Maximum available on one worker, for each resource separately. */
      largestFree: ResourceVector,
    }),
  ),
  /** An owner has one queue for all its groups. */
  classes: z.array(
    z.strictObject({
      kind: WorkKind,
      waitingTasks: z.int().nonnegative(),
      expectedWaitMilliseconds: z.int().nonnegative(),
    }),
  ),
});
export type OwnerSummary = z.infer<typeof OwnerSummary>;
