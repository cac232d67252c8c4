import {z} from 'zod';
import {Name} from './name.js';

/** A group of workers and the unit of ownership. */
export const Rack = z.strictObject({
  name: Name,
  region: Name,
  availabilityZone: Name,
});
export type Rack = z.infer<typeof Rack>;
