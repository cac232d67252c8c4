import {RequestKey} from '@cardamomfield/types';
import {z} from 'zod';
import {definePeerMethod} from './define_peer_method.js';

/**
 * Coordinator to owner: stop every queued, dispatched and running task of the
 * requests. The owner sends the outcome of each task as a task update.
 * Idempotent.
 */
export const CANCEL_TASKS = definePeerMethod(
  'cancel',
  z.strictObject({keys: z.array(RequestKey).min(1)}),
  z.strictObject({}),
);
