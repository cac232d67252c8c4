import {z} from 'zod';

/** Names of the placement policies that a rule can choose. */
export const PlacementPolicyName = z.enum(['spread', 'best-fit', 'first-fit']);
export type PlacementPolicyName = z.infer<typeof PlacementPolicyName>;
