import {z} from 'zod';

/** A worker, as it describes itself in the platform's directory. */
export const WorkerDescription = z.object({
  id: z.string(),
  service: z.string(),
  /** IP address and port, for example `10.0.0.1:8080`. */
  address: z.string(),
  availabilityZone: z.string(),
  state: z.enum(['ready', 'draining']),
  milliCores: z.number(),
  memoryMegabytes: z.number(),
  accelerators: z.number(),
  labels: z.array(z.string()),
  /** Start of this incarnation of the worker; 0 when not known. */
  bornAtUnixMilliseconds: z.number(),
  /** Minimum time left for a draining worker; undefined when not draining. */
  remainingMilliseconds: z.number().optional(),
});
export type WorkerDescription = z.infer<typeof WorkerDescription>;
