import {z} from 'zod';
import {Name} from './name.js';

/** A kind of work that callers may ask for. */
export const Service = z.strictObject({
  name: Name,
  /** Teams that may submit it; empty allows every team. */
  teams: z.array(Name),
});
export type Service = z.infer<typeof Service>;
