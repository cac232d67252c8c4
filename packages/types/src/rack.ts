import {z} from 'zod';
import {Name} from './name.js';

/** A rack is a worker group: the unit of ownership. */
export const Rack = z.strictObject({
  name: Name,
  region: Name,
  availabilityZone: Name,
});
export type Rack = z.infer<typeof Rack>;
