import {z} from 'zod';
import {Name} from './name.js';

/** A type of work that callers can request. */
export const Service = z.strictObject({
  name: Name,
  /** Teams that may submit it; empty allows every team. */
  teams: z.array(Name),
});
export type Service = z.infer<typeof Service>;
