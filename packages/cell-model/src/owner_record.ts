import {z} from 'zod';

/** Which host owns a shard, and under which epoch. */
export const OwnerRecord = z.object({
  shard: z.string(),
  epoch: z.number().int(),
  hostName: z.string(),
  address: z.string(),
  incarnation: z.string(),
});
export type OwnerRecord = z.infer<typeof OwnerRecord>;
