import {z} from 'zod';

/** Which host owns a shard, and under which epoch. */
export const OwnerRecord = z.object({
  shard: z.string(),
  epoch: z.number().int(),
  hostName: z.string(),
  address: z.string(),
  incarnation: z.string(),
  /**
   * The first of the epochs, up to this one, whose owners are all known to grant
   * leases by `LeaseTerms`. Missing in records of earlier versions.
   */
  leasesBoundedSince: z.number().int().optional(),
});
export type OwnerRecord = z.infer<typeof OwnerRecord>;
