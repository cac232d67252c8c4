import {Name, Submission} from '@cardamomfield/types';
import {z} from 'zod';

/** Tasks of one request that an owner is asked to place. */
export const PlaceOrder = z.strictObject({
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
   * Wall-clock instant after which the owner refuses the order. Once it has
   * passed, an owner that does not know the tasks never will.
   */
  notAfter: z.int(),
});
export type PlaceOrder = z.infer<typeof PlaceOrder>;
