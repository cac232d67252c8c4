import {z} from 'zod';

/** Callers that share keys, a weight and a limit. */
export const Team = z.object({
  name: z.string(),
  /** Any of them authenticates a call of the team. */
  keys: z.array(z.string()),
  /** The team's share of a full cell, relative to other teams. */
  weight: z.number(),
  /** What the team may have running on all workers; 0 means no limit. */
  limit: z.object({
    milliCores: z.number(),
    memoryMegabytes: z.number(),
    accelerators: z.number(),
  }),
});
export type Team = z.infer<typeof Team>;
