import {Name} from '@cardamomfield/types';
import {z} from 'zod';

/** Content of the first message in each direction of a connection. */
export const Hello = z.object({
  protocolVersion: z.int(),
  name: Name,
  incarnation: z.string().min(1),
  /** Wall-clock start time of the process; orders incarnations. */
  startedAt: z.int(),
  region: Name,
  availabilityZone: Name,
});
export type Hello = z.infer<typeof Hello>;
