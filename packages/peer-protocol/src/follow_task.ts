import {TaskIdentity} from '@cardamomfield/types';
import {z} from 'zod';
import {definePeerMethod} from './define_peer_method.js';

/**
 * Coordinator to owner: from now on send the updates of this task to the caller
 * of this procedure, beginning with the latest.
 */
export const FOLLOW_TASK = definePeerMethod(
  'task.follow',
  z.strictObject({task: TaskIdentity}),
  z.strictObject({isKnown: z.boolean()}),
);
