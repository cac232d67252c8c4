import {z} from 'zod';

/**
 * How a request wants to be scheduled. `interactive` is a short request whose
 * caller waits, `urgent` may displace batch work, `service` runs until it is
 * cancelled, `gang` starts all its tasks together or none.
 */
export const WorkKind = z.enum([
  'urgent',
  'interactive',
  'service',
  'gang',
  'batch',
]);
export type WorkKind = z.infer<typeof WorkKind>;
