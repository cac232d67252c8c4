import {TaskIdentity} from '@cardamomfield/types';
import {z} from 'zod';
import {definePeerMethod} from './define_peer_method.js';

/**
 * Owner to coordinator, before the start of a non-idempotent task: may the task
 * start? The owner sends no start without a permit. A coordinator that gave
 * none can therefore prove that the task did not run, even after the owner
 * failed.
 */
export const PERMIT_DISPATCH = definePeerMethod(
  'dispatch.permit',
  z.strictObject({
    task: TaskIdentity,
    epoch: z.int().nonnegative(),
    worker: z.string(),
  }),
  z.strictObject({permitted: z.boolean()}),
);
