import {z} from 'zod';

/** Who makes a call, as the host that received it authenticated the caller. */
export const CallerIdentity = z.object({
  /** Empty for a public queue, and where the desired state names no teams. */
  team: z.string(),
  /** Digest of the caller's key; empty without a team. */
  keyDigest: z.string(),
  /** Version of the desired state by which the host decided. */
  version: z.number(),
});
export type CallerIdentity = z.infer<typeof CallerIdentity>;
