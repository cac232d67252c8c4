import {Name, Submission} from '@cardamomfield/types';
import {z} from 'zod';

/** Order to an owner to place tasks of one request. */
export const PlacementOrder = z.strictObject({
  ...Submission.shape,
  coordinator: Name,
  coordinatorIncarnation: z.string(),
  tasks: z
    .array(
      z.strictObject({
        index: z.int().nonnegative(),
        attempt: z.int().positive(),
        /** State of the earlier attempt to continue from. */
        checkpoint: z.json().optional(),
      }),
    )
    .min(1),
  excludedWorkers: z.array(Name),
  /**
   * Wall-clock instant after which the owner refuses the order. An owner that
   * does not have the tasks by then will never accept them from this order.
   */
  notAfter: z.int(),
});
export type PlacementOrder = z.infer<typeof PlacementOrder>;
