import {z} from 'zod';
import {Name} from './name.js';
import {ResourceVector} from './resource_vector.js';

/** A group of callers that shares a quota. */
export const Team = z.strictObject({
  name: Name,
  /** What the team may always use; more is lent while it is free. */
  quota: ResourceVector,
});
export type Team = z.infer<typeof Team>;
