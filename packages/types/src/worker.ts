import {z} from 'zod';
import {Name} from './name.js';
import {ResourceVector} from './resource_vector.js';

/** A host that runs tasks, as listed in the inventory. */
export const Worker = z.strictObject({
  name: Name,
  /** Base URL with an IP address, for example `http://127.0.0.1:7000`. */
  address: z.url({protocol: /^https?$/}),
  rack: Name,
  /** Services whose tasks it can run. */
  services: z.array(Name).min(1),
  capacity: ResourceVector,
  /** A leaving worker receives no new work. */
  state: z.enum(['active', 'leaving']),
});
export type Worker = z.infer<typeof Worker>;
