import {z} from 'zod';
import {Name} from './name.js';
import {ResourceVector} from './resource_vector.js';

/** A group of callers that shares a quota. */
export const Team = z.strictObject({
  name: Name,
  /** Resources always available to the team; it may borrow free ones. */
  quota: ResourceVector,
});
export type Team = z.infer<typeof Team>;
