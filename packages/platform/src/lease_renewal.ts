import {TaskIdentity} from '@cardamomfield/types';
import {z} from 'zod';

/** Extends the lease of one running task; its deadline never moves back. */
export const LeaseRenewal = z.strictObject({
  task: TaskIdentity,
  leaseDeadline: z.int(),
});
export type LeaseRenewal = z.infer<typeof LeaseRenewal>;
