import {PlacementExplanation} from '@cardamomfield/cell-scheduler';
import {z} from 'zod';

/** An explanation and the state that it is from. */
export const PlacementAnswer = z.object({
  /** Host of the owner. */
  hostName: z.string(),
  epoch: z.number(),
  /**
   * Age of the state: time since the last proof that the host owns the shard. A
   * later owner may have changed it since.
   */
  ageMilliseconds: z.number(),
  explanation: PlacementExplanation,
});
export type PlacementAnswer = z.infer<typeof PlacementAnswer>;
