import {TaskIdentity} from '@cardamomfield/types';
import {z} from 'zod';
import {definePeerMethod} from './define_peer_method.js';

/**
 * Owner to coordinator, before the start of a non-idempotent task. Without a
 * permit no start is sent, so a coordinator that gave none can prove that the
 * task did not run, even after the owner died.
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
