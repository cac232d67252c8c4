import {z} from 'zod';

/**
 * Scheduling class of a request. `interactive` is a short request whose caller
 * waits, `urgent` may preempt batch work, `service` runs until it is cancelled,
 * `gang` starts all its tasks together or none.
 */
export const WorkKind = z.enum([
  'urgent',
  'interactive',
  'service',
  'gang',
  'batch',
]);
export type WorkKind = z.infer<typeof WorkKind>;
