import {z} from 'zod';

/** A host of the cell, as it announces itself to the other hosts. */
export const HostRecord = z.object({
  name: z.string(),
  /** Address for calls between hosts. */
  address: z.string(),
  region: z.string(),
  availabilityZone: z.string(),
  /** Processors that the host may use, in thousandths of a core. */
  milliCores: z.number(),
  /** Changes with each start of the process. */
  incarnation: z.string(),
  /** Whether the process is about to exit and takes no more calls. */
  isLeaving: z.boolean().optional(),
});
export type HostRecord = z.infer<typeof HostRecord>;
