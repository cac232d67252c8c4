import {Name, ResourceVector, WorkKind} from '@cardamomfield/types';
import {z} from 'zod';

/** What one owner offers, for entry hosts that choose an owner. */
export const OwnerSummary = z.strictObject({
  groups: z.array(
    z.strictObject({
      name: Name,
      /** Sum of what its workers have available. */
      free: ResourceVector,
      /** Most that one worker has available, each resource on its own. */
      largestFree: ResourceVector,
    }),
  ),
  /** Queues are kept by owner, not by group. */
  classes: z.array(
    z.strictObject({
      kind: WorkKind,
      waitingTasks: z.int().nonnegative(),
      expectedWaitMilliseconds: z.int().nonnegative(),
    }),
  ),
});
export type OwnerSummary = z.infer<typeof OwnerSummary>;
