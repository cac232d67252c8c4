import {SubmissionSpecification} from '@cardamomfield/cell-model';
import {z} from 'zod';

/** Asks about a submission by its ID, or about a request that is not sent. */
export const PlacementQuestion = z.union([
  z.object({id: z.string()}),
  z.object({
    queueName: z.string(),
    /** Empty if it belongs to no team. */
    team: z.string(),
    specification: SubmissionSpecification,
  }),
]);
export type PlacementQuestion = z.infer<typeof PlacementQuestion>;
