import {TaskIdentity} from '@cardamomfield/types';
import {z} from 'zod';

/** Moves the lease deadline of one running task; never backwards. */
export const LeaseRenewal = z.strictObject({
  task: TaskIdentity,
  leaseDeadline: z.int(),
});
export type LeaseRenewal = z.infer<typeof LeaseRenewal>;
